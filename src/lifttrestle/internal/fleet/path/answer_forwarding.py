#    Licensed under the Apache License, Version 2.0 (the "License"); you may
#    not use this file except in compliance with the License. You may obtain
#    a copy of the License at
#
#         http://www.apache.org/licenses/LICENSE-2.0
#
#    Unless required by applicable law or agreed to in writing, software
#    distributed under the License is distributed on an "AS IS" BASIS, WITHOUT
#    WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied. See the
#    License for the specific language governing permissions and limitations
#    under the License.

"""Passes an upstream's proved answer on to the caller."""

from collections.abc import Callable
import dataclasses

from lifttrestle.errors import UpstreamFailed
from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.exchange.progress import RequestEvent
from lifttrestle.internal.exchange.progress import RequestProgress
from lifttrestle.internal.fleet.parts import FleetParts
from lifttrestle.internal.fleet.path.attempt import await_sound
from lifttrestle.internal.fleet.path.attempt import check_served
from lifttrestle.internal.fleet.path.attempt import UpstreamAnswer
from lifttrestle.internal.fleet.path.event_relay import EventRelay
from lifttrestle.internal.fleet.path.request_context import PROMISING
from lifttrestle.internal.fleet.state.catalogue import Route
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.server_connection import ServerConnection

MAX_ANSWER_BYTES = 16 * 1024 * 1024
STATUS_OK = 200


@dataclasses.dataclass(frozen=True)
class Patience:
    """How long a silent upstream is waited for.

    :ivar seconds: None for no limit.
    :ivar may_leave: whether another upstream could go on.
    """

    seconds: float | None
    may_leave: Callable[[], bool]


class AnswerPassing:
    """Passes on the answers of one request's attempts.

    :ivar relay: the events of a stream that the caller has.
    :ivar longest_pause: seconds between two parts of a stream, over all its
        attempts; zero before the second part.
    :ivar failure: the last failure that an upstream answered with, which is
        the caller's to see if no other attempt succeeds.
    """

    def __init__(
        self,
        parts: FleetParts,
        connection: ServerConnection,
        progress: RequestProgress,
        last_event: int | None,
    ) -> None:
        self._parts = parts
        self._connection = connection
        self._progress = progress
        self.relay = EventRelay(connection, last_event)
        self.failure: Answer | None = None
        self.longest_pause = 0.0
        self._part_at: float | None = None

    async def pass_on(
        self,
        route: Route,
        upstream: FleetUpstream,
        answer: UpstreamAnswer,
        patience: Patience,
    ) -> None:
        """Send an answer, whole or event by event.

        :raises UpstreamLost: if it broke off or fell silent.
        :raises UpstreamFailed: if it is a failure; it was read to its end.
        """
        if route.streams and answer.facts.status == STATUS_OK:
            await self._pass_events(upstream, answer, patience)
        else:
            await self._pass_whole(route, upstream, answer)
        self._progress.move(RequestEvent.END)

    async def _pass_events(
        self,
        upstream: FleetUpstream,
        answer: UpstreamAnswer,
        patience: Patience,
    ) -> None:
        parts = self._parts
        headers = parts.dialect.select_answer_headers(answer.head)
        self.relay.begin_stream(answer.facts.status, headers)
        self._progress.move(RequestEvent.ANSWER)
        while True:
            data = await await_sound(
                parts.clock,
                upstream,
                patience.seconds,
                patience.may_leave,
                answer.connection.read_part,
            )
            if not data:
                break
            now = parts.clock.monotonic()
            upstream.note_alive(now)
            self._note_part(now)
            await self.relay.feed(data)
        await self.relay.finish()

    def get_quiet(self, now: float) -> float | None:
        """Return the seconds since the last part of a stream, None if none."""
        return None if self._part_at is None else now - self._part_at

    def _note_part(self, now: float) -> None:
        if self._part_at is not None:
            self.longest_pause = max(self.longest_pause, now - self._part_at)
        self._part_at = now

    async def _pass_whole(
        self, route: Route, upstream: FleetUpstream, answer: UpstreamAnswer
    ) -> None:
        body = await answer.connection.read_body(MAX_ANSWER_BYTES)
        headers = self._parts.dialect.select_answer_headers(answer.head)
        whole = Answer(answer.facts.status, headers, body)
        try:
            check_served(upstream, answer.facts)
        except UpstreamFailed:
            if whole.status not in PROMISING or route.repeatable:
                self.failure = whole
            raise
        if self.relay.started:
            raise UpstreamLost(f'{upstream.instance} did not go on')
        self._progress.move(RequestEvent.ANSWER)
        await self._connection.send_answer(whole)
