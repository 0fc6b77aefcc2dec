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

"""One attempt: a request sent to one upstream, up to its answer's head."""

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
from lifttrestle.internal.clock.read_timeout import ReadTimeout
from lifttrestle.internal.fleet.path.dialect import AnswerFacts
from lifttrestle.internal.fleet.path.dialect import RequestDialect
from lifttrestle.internal.fleet.path.request_context import NOT_RUN_STATUSES
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.state.upstream import SILENT_SECONDS
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.head import ResponseHead
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('upstreams')
T = TypeVar('T')
# Shortest interval between checks of an upstream that has timed out while no
# other upstream can take the request over.
MIN_POLL_SECONDS = 0.2
FIRST_CLIENT_ERROR = 400
FIRST_SERVER_ERROR = 500
MAX_DISCARDED_BYTES = 4 * 1024 * 1024
# The body of an answer that declines a request is expected with its head, so
# this is short.
DECLINED_READ_SECONDS = 0.1
# Idle connections are closed this long before the upstream would close them: a
# request sent while the upstream closes the connection is lost.
IDLE_MARGIN_SECONDS = 0.6
# Used if the upstream announces an idle timeout of less than a second.
MIN_IDLE_SECONDS = 0.4


@dataclasses.dataclass
class UpstreamAnswer:
    """An answer whose head was verified to belong to the request."""

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
    inactivity_seconds: float | None,
    can_fail_over: Callable[[], bool],
    on_announced: Callable[[AnswerFacts], None],
) -> UpstreamAnswer:
    """Send a request and return its answer once the head is verified.

    :param inactivity_seconds: see ``read_with_timeout``.
    :param can_fail_over: see ``read_with_timeout``.
    :param on_announced: called with an answer in which the upstream may have
        announced something about itself.
    :raises UpstreamLost: if no answer came; the request may have run.
    :raises UpstreamDeclined: if the upstream did not run the request.
    :raises WrongAnswer: if the answer can't be verified as the upstream's
        answer to this request.
    """
    await connection.send_request(head, body)
    answer = await read_with_timeout(
        clock,
        upstream,
        inactivity_seconds,
        can_fail_over,
        lambda: _read_matching_head(dialect, connection, request_id),
    )
    if not answer.facts.request_id and connection.exchanges > 1:
        raise WrongAnswer(
            f'{upstream.instance} sent an answer {answer.facts.status} that'
            ' may belong to any request on its connection'
        )
    _update_idle_timeout(upstream, answer.facts)
    if _is_from_upstream(upstream, answer.facts, request_id):
        _note_announced(upstream, answer.facts, clock.monotonic())
        on_announced(answer.facts)
    if answer.facts.not_run or answer.facts.other_instance:
        await _drain_declined_answer(connection)
        _mark_misdirected(upstream, answer.facts)
        raise UpstreamDeclined(
            f'{upstream.instance} answered {answer.facts.status} and did not'
            ' run the request',
            is_full=not answer.facts.other_instance,
        )
    _verify_answer(upstream, answer.facts, request_id)
    return answer


async def read_with_timeout(
    clock: Clock,
    upstream: FleetUpstream,
    inactivity_seconds: float | None,
    can_fail_over: Callable[[], bool],
    read: Callable[[], Awaitable[T]],
) -> T:
    """Return what ``read`` returns, unless the upstream becomes inactive.

    The attempt fails sooner if the upstream also accepts no new connections.

    :param inactivity_seconds: how long an upstream may send nothing, on this
        or any other connection, before the attempt fails; None for no limit.
    :param can_fail_over: whether another upstream could take the request
        over; while it returns false, the attempt does not fail.
    :param read: may be cancelled and called again.
    :raises UpstreamLost: if the upstream is inactive for too long.
    """
    if inactivity_seconds is None:
        return await read()
    began = clock.monotonic()
    while True:
        silent_seconds = clock.monotonic() - max(
            upstream.last_received_at, began
        )
        unreachable = (
            upstream.reach.unreachable and silent_seconds >= SILENT_SECONDS
        )
        if (
            unreachable or silent_seconds >= inactivity_seconds
        ) and can_fail_over():
            raise UpstreamLost(
                f'{upstream.instance} sent nothing for {silent_seconds:.2f} s'
            )
        try:
            timeout = max(
                min(inactivity_seconds - silent_seconds, SILENT_SECONDS),
                MIN_POLL_SECONDS,
            )
            async with ReadTimeout(timeout):
                return await read()
        except TimeoutError:
            continue


def raise_for_status(upstream: FleetUpstream, facts: AnswerFacts) -> None:
    """Raise an error if the status of an answer reports a failure.

    :raises UpstreamFailed: if it does; the upstream ran the request.
    """
    if facts.status >= FIRST_SERVER_ERROR or facts.status in NOT_RUN_STATUSES:
        raise UpstreamFailed(f'{upstream.instance} answered {facts.status}')


async def _read_matching_head(
    dialect: RequestDialect, connection: ClientConnection, request_id: str
) -> UpstreamAnswer:
    while True:
        head = await connection.read_head()
        facts = dialect.read_answer(head)
        if not facts.request_id or facts.request_id == request_id:
            return UpstreamAnswer(connection, head, facts)
        # A duplicate answer to an earlier request on this connection.
        await connection.skip_answer(MAX_DISCARDED_BYTES)


async def _drain_declined_answer(connection: ClientConnection) -> None:
    """Read the rest of the answer so that the connection can be reused."""
    try:
        async with asyncio.timeout(DECLINED_READ_SECONDS):
            await connection.discard_body(MAX_DISCARDED_BYTES)
    except (UpstreamLost, TimeoutError):
        # The request remains declined; only the connection can't be reused.
        connection.close()


def _mark_misdirected(upstream: FleetUpstream, facts: AnswerFacts) -> None:
    """Stop using an instance if another one answers at its address."""
    if facts.instance in ('', upstream.instance) or upstream.misdirected:
        return
    upstream.misdirected = True
    LOG.info(
        'upstream.address_taken',
        instance=upstream.instance,
        by=facts.instance,
    )


def _is_from_upstream(
    upstream: FleetUpstream, facts: AnswerFacts, request_id: str
) -> bool:
    """Return whether an answer came from the intended upstream."""
    if facts.other_instance or facts.instance not in ('', upstream.instance):
        return False
    matches = facts.verified and facts.request_id == request_id
    return matches or facts.not_run


def _note_announced(
    upstream: FleetUpstream, facts: AnswerFacts, now: float
) -> None:
    """Record what an upstream announces about itself in an answer."""
    upstream.rejections.note_announced(facts.max_rejections, now)
    if facts.leaving:
        upstream.departure.note_announced(now)
    if facts.pause_seconds is not None:
        upstream.rejections.note_requested(facts.pause_seconds, now)
        LOG.info(
            'upstream.pause_requested',
            instance=upstream.instance,
            seconds=facts.pause_seconds,
        )
    if facts.invalid_pause:
        LOG.warning(
            'upstream.invalid_pause',
            instance=upstream.instance,
            value=facts.invalid_pause,
        )


def _update_idle_timeout(upstream: FleetUpstream, facts: AnswerFacts) -> None:
    idle = facts.idle_seconds
    if idle is not None:
        upstream.pool.idle_seconds = max(
            idle - IDLE_MARGIN_SECONDS, MIN_IDLE_SECONDS
        )


def _verify_answer(
    upstream: FleetUpstream, facts: AnswerFacts, request_id: str
) -> None:
    if not facts.verified or facts.request_id != request_id:
        raise WrongAnswer(
            f'{upstream.instance} sent an answer {facts.status} without its'
            ' stamp or for another request'
        )
    if facts.encoded:
        raise WrongAnswer(f'{upstream.instance} sent an encoded body')
