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

"""One exchange with one upstream of the fleet."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import TypeVar

from lifttrestle.errors import UpstreamDeclined
from lifttrestle.errors import UpstreamFailed
from lifttrestle.errors import UpstreamLost
from lifttrestle.errors import WrongAnswer
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.path.dialect import AnswerFacts
from lifttrestle.internal.fleet.path.dialect import RequestDialect
from lifttrestle.internal.fleet.path.request_context import PROMISING
from lifttrestle.internal.fleet.policy.limit_belief import ReportedLimit
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.state.upstream import SILENT_SECONDS
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.head import ResponseHead
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('upstreams')
T = TypeVar('T')
# Between two looks at an upstream that is silent and can't be left.
MIN_LOOK_SECONDS = 0.2
FIRST_SERVER_ERROR = 500
MAX_FOREIGN_BYTES = 4 * 1024 * 1024
# The body of an answer that turns a request away comes with its head.
DECLINED_READ_SECONDS = 0.1
# Kept connections are closed this long before the upstream would do so: a
# request that crosses its close is lost.
IDLE_MARGIN_SECONDS = 0.6
# Where an upstream names no time, or less than a second.
SHORT_IDLE_SECONDS = 0.4


@dataclasses.dataclass
class UpstreamAnswer:
    """An answer whose head proves that it is the right one."""

    connection: ClientConnection
    head: ResponseHead
    facts: AnswerFacts


async def begin_attempt(
    clock: Clock,
    dialect: RequestDialect,
    upstream: FleetUpstream,
    connection: ClientConnection,
    head: RequestHead,
    body: bytes,
    request_id: str,
    patience: float | None,
    may_leave: Callable[[], bool],
    note_limit: Callable[[ReportedLimit], None],
) -> UpstreamAnswer:
    """Send a request and return the answer once its head is proved.

    :param patience: and ``may_leave`` as for ``await_sound``.
    :param note_limit: is told what the upstream says of its limit.
    :raises UpstreamLost: if there is none; the request may have run.
    :raises UpstreamDeclined: if the upstream did not run the request.
    :raises WrongAnswer: if what came is not the upstream's answer.
    """
    await connection.send_request(head, body)
    answer = await await_sound(
        clock,
        upstream,
        patience,
        may_leave,
        lambda: _read_own_head(dialect, connection, request_id),
    )
    _learn(upstream, answer.facts)
    if _speaks_for(upstream, answer.facts, request_id):
        note_limit(answer.facts.limit)
    if answer.facts.not_run or answer.facts.other_instance:
        await _finish_declined(connection)
        _note_other_start(upstream, answer.facts)
        raise UpstreamDeclined(
            f'{upstream.instance} answered {answer.facts.status} and did not'
            ' run it'
        )
    _check(upstream, answer.facts, request_id)
    return answer


async def await_sound(
    clock: Clock,
    upstream: FleetUpstream,
    patience: float | None,
    may_leave: Callable[[], bool],
    read: Callable[[], Awaitable[T]],
) -> T:
    """Return what ``read`` returns, unless the upstream falls silent.

    One that takes no connections either is given up sooner.

    :param patience: seconds for which an upstream may send nothing, on this
        or any other connection, until it is given up; None for no limit.
    :param read: may be cancelled and called again.
    :raises UpstreamLost: if it is given up.
    """
    if patience is None:
        return await read()
    began = clock.monotonic()
    while True:
        silent = clock.monotonic() - max(upstream.last_received_at, began)
        gone = upstream.reach.unreachable and silent >= SILENT_SECONDS
        if (gone or silent >= patience) and may_leave():
            raise UpstreamLost(
                f'{upstream.instance} sent nothing for {silent:.2f} s'
            )
        try:
            pause = max(
                min(patience - silent, SILENT_SECONDS), MIN_LOOK_SECONDS
            )
            async with asyncio.timeout(pause):
                return await read()
        except TimeoutError:
            continue


def check_served(upstream: FleetUpstream, facts: AnswerFacts) -> None:
    """Refuse an answer by which the upstream says that it failed.

    :raises UpstreamFailed: for a failure of its own; it ran the request.
    """
    if facts.status >= FIRST_SERVER_ERROR or facts.status in PROMISING:
        raise UpstreamFailed(f'{upstream.instance} answered {facts.status}')


async def _read_own_head(
    dialect: RequestDialect, connection: ClientConnection, request_id: str
) -> UpstreamAnswer:
    while True:
        head = await connection.read_head()
        facts = dialect.read_answer(head)
        if not facts.request_id or facts.request_id == request_id:
            return UpstreamAnswer(connection, head, facts)
        # A second answer to an earlier request on this connection.
        await connection.skip_answer(MAX_FOREIGN_BYTES)


async def _finish_declined(connection: ClientConnection) -> None:
    """Read the rest, so that the connection can be used again."""
    try:
        async with asyncio.timeout(DECLINED_READ_SECONDS):
            await connection.read_body(MAX_FOREIGN_BYTES)
    except (UpstreamLost, TimeoutError):
        # What was said stands; the connection is of no more use.
        connection.close()


def _note_other_start(upstream: FleetUpstream, facts: AnswerFacts) -> None:
    """Send nothing more to a start whose address another one has."""
    if facts.instance in ('', upstream.instance) or upstream.misdirected:
        return
    upstream.misdirected = True
    LOG.info(
        'upstream.address_taken',
        instance=upstream.instance,
        by=facts.instance,
    )


def _speaks_for(
    upstream: FleetUpstream, facts: AnswerFacts, request_id: str
) -> bool:
    """Return whether an answer tells of the upstream that was meant."""
    if facts.other_instance or facts.instance not in ('', upstream.instance):
        return False
    own = facts.proved and facts.request_id == request_id
    return own or facts.not_run


def _learn(upstream: FleetUpstream, facts: AnswerFacts) -> None:
    idle = facts.idle_seconds
    if idle is not None:
        upstream.pool.idle_seconds = max(
            idle - IDLE_MARGIN_SECONDS, SHORT_IDLE_SECONDS
        )


def _check(
    upstream: FleetUpstream, facts: AnswerFacts, request_id: str
) -> None:
    if not facts.proved or facts.request_id != request_id:
        raise WrongAnswer(
            f'{upstream.instance} gave an answer {facts.status} without its'
            ' mark or for another request'
        )
    if facts.encoded:
        raise WrongAnswer(f'{upstream.instance} gave an encoded body')
