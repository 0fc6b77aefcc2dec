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

"""Forwards the verified answer of an upstream to the caller."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses

from lifttrestle.errors import UpstreamFailed
from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.exchange.progress import RequestEvent
from lifttrestle.internal.exchange.progress import RequestProgress
from lifttrestle.internal.fleet.parts import FleetParts
from lifttrestle.internal.fleet.path.attempt import FIRST_SERVER_ERROR
from lifttrestle.internal.fleet.path.attempt import raise_for_status
from lifttrestle.internal.fleet.path.attempt import read_with_timeout
from lifttrestle.internal.fleet.path.attempt import UpstreamAnswer
from lifttrestle.internal.fleet.path.event_relay import EventRelay
from lifttrestle.internal.fleet.path.request_context import NOT_RUN_STATUSES
from lifttrestle.internal.fleet.state.catalogue import Route
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.streams.binding import StreamBinding
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.memory_budget import AnswerHold
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('upstreams')
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Of an answer that reports a failure, which callers only show.
MAX_FAILURE_BYTES = 64 * 1024
STATUS_OK = 200


@contextlib.contextmanager
def _explain_given_up(
    upstream: FleetUpstream, hold: AnswerHold
) -> Iterator[None]:
    """Tell an end by this router from one by the upstream.

    :raises UpstreamLost: if the answer had to give way to others.
    """
    try:
        yield
    except UpstreamLost as error:
        if not hold.given_up:
            raise
        LOG.warning(
            'answer.given_up', instance=upstream.instance, bytes=hold.size
        )
        raise UpstreamLost(
            f'{upstream.instance} answered with {hold.size} bytes, for which'
            ' this router has no memory'
        ) from error


@dataclasses.dataclass(frozen=True)
class InactivityTimeout:
    """How long an upstream may send nothing before its attempt fails.

    :ivar seconds: None for no limit.
    :ivar can_fail_over: whether another upstream could take the request over.
    """

    seconds: float | None
    can_fail_over: Callable[[], bool]


class AnswerForwarder:
    """Forwards the answers to one request, over all its attempts.

    :ivar relay: forwards the events of a stream and tracks which were sent.
    :ivar longest_pause: the longest time in seconds between two parts of a
        stream, over all attempts; zero before the second part.
    :ivar failure: the last error answer of an upstream; the caller receives it
        if no other attempt succeeds.
    """

    def __init__(
        self,
        parts: FleetParts,
        connection: ServerConnection,
        progress: RequestProgress,
        last_event_id: int | None,
        binding: StreamBinding,
    ) -> None:
        self._parts = parts
        self._binding = binding
        self._connection = connection
        self._progress = progress
        self.relay = EventRelay(connection, last_event_id)
        self.failure: Answer | None = None
        self.longest_pause = 0.0
        self._last_part_at: float | None = None
        # Of the current attempt.
        self._first_part_at: float | None = None

    def begin_attempt(self) -> None:
        """Note that another answer will be forwarded, if there is any."""
        self._first_part_at = None

    def get_writing_seconds(self) -> float:
        """Return for how long the current attempt has been answered."""
        if self._first_part_at is None:
            return 0.0
        return self._parts.clock.monotonic() - self._first_part_at

    async def forward(
        self,
        route: Route,
        upstream: FleetUpstream,
        answer: UpstreamAnswer,
        inactivity_timeout: InactivityTimeout,
    ) -> None:
        """Forward an answer, event by event if it is a stream.

        :raises UpstreamLost: if the answer broke off or timed out.
        :raises UpstreamFailed: if it is an error answer; its body was read
            completely.
        """
        if route.streams and answer.facts.status == STATUS_OK:
            await self._forward_events(upstream, answer, inactivity_timeout)
        else:
            await self._forward_buffered(route, upstream, answer)
        self._progress.apply(RequestEvent.END)

    async def _forward_events(
        self,
        upstream: FleetUpstream,
        answer: UpstreamAnswer,
        inactivity_timeout: InactivityTimeout,
    ) -> None:
        parts = self._parts
        headers = parts.dialect.select_answer_headers(answer.head)
        self.relay.begin_stream(
            answer.facts.status,
            headers,
            lambda: self._binding.note_begun(upstream),
        )
        self._progress.apply(RequestEvent.ANSWER)
        with parts.memory.hold(answer.connection.close) as hold:
            with _explain_given_up(upstream, hold):
                await self._forward_parts(
                    upstream, answer, inactivity_timeout, hold
                )
        await self.relay.finish()

    async def _forward_parts(
        self,
        upstream: FleetUpstream,
        answer: UpstreamAnswer,
        inactivity_timeout: InactivityTimeout,
        hold: AnswerHold,
    ) -> None:
        while data := await read_with_timeout(
            self._parts.clock,
            upstream,
            inactivity_timeout.seconds,
            inactivity_timeout.can_fail_over,
            answer.connection.read_part,
        ):
            now = self._parts.clock.monotonic()
            upstream.note_alive(now)
            self._note_part(now)
            if await self.relay.feed(data):
                answer.connection.note_parts_used()
            hold.resize(self.relay.pending_bytes)

    def get_inactive_seconds(self, now: float) -> float | None:
        """Return the seconds since the last part of a stream.

        None if no part has been received.
        """
        return None if self._last_part_at is None else now - self._last_part_at

    def _note_part(self, now: float) -> None:
        if self._last_part_at is not None:
            self.longest_pause = max(
                self.longest_pause, now - self._last_part_at
            )
        self._last_part_at = now
        if self._first_part_at is None:
            self._first_part_at = now

    async def _read_body(
        self, upstream: FleetUpstream, answer: UpstreamAnswer
    ) -> bytes:
        """Return the body of an answer.

        :raises UpstreamLost: if it broke off, is too long or had to give way.
        """
        failed = answer.facts.status >= FIRST_SERVER_ERROR
        limit = MAX_FAILURE_BYTES if failed else MAX_ANSWER_BYTES
        with self._parts.memory.hold(answer.connection.close) as hold:
            with _explain_given_up(upstream, hold):
                return await answer.connection.read_body(limit, hold)

    async def _forward_buffered(
        self, route: Route, upstream: FleetUpstream, answer: UpstreamAnswer
    ) -> None:
        body = await self._read_body(upstream, answer)
        headers = self._parts.dialect.select_answer_headers(answer.head)
        complete = Answer(answer.facts.status, headers, body)
        try:
            raise_for_status(upstream, answer.facts)
        except UpstreamFailed:
            if complete.status not in NOT_RUN_STATUSES or route.repeatable:
                self.failure = complete
            raise
        if self.relay.started:
            raise UpstreamLost(
                f'{upstream.instance} did not resume the stream'
            )
        self._progress.apply(RequestEvent.ANSWER)
        await self._connection.send_answer(complete)
