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

"""Checks the rules of planned stops against what a soak has observed.

The letters of the rules are those of ``test_fleet_stop_soak``.
"""

import collections
from collections.abc import Iterator
import math

from tests.support.soak_records import Attempt
from tests.support.soak_records import AttemptResult
from tests.support.soak_records import Record
from tests.support.soak_records import RouterStart
from tests.support.soak_upstream import get_base_id
from tests.support.soak_upstream import make_event

NON_IDEMPOTENT_ROUTES = ('once', 'late', 'essay')
# No request is given up before this fraction of the grace period. Timers never
# fire early.
SERVED_SHARE = 0.93
# Answers to an accepted request that can't be served any more.
GIVEN_UP_STATUSES = (502, 503)
# The listener stays open for this fraction of the grace period, but for three
# seconds at most.
NOTICE_SHARE = 0.5
MAX_NOTICE_SECONDS = 3.0
# A request sent this long before the listener closes was read before that.
READ_SECONDS = 0.5


def find_faults(record: Record) -> list[str]:
    """Return a line for each violation of a rule."""
    found: list[str] = []
    run_counts: collections.Counter[str] = collections.Counter()
    for attempt in record.attempts:
        for fault in (
            *_check_answer(record, attempt),
            _check_result(record, attempt),
        ):
            if fault:
                found.append(f'{fault}: {describe(record, attempt)}')
        if attempt.route in NON_IDEMPOTENT_ROUTES:
            run_counts[get_base_id(attempt.id)] += record.runs[attempt.id]
    found += [
        f'b: {x} ran {run_counts[x]} times'
        for x in run_counts
        if run_counts[x] > 1
    ]
    for start in record.starts:
        found.extend(_check_exit(record, start))
    return found


def describe(record: Record, attempt: Attempt) -> str:
    """Describe an attempt; times are seconds after its router's signal."""
    start = attempt.router_start
    origin = start.signalled or attempt.began
    times = {
        'began': attempt.began,
        'sent': attempt.sent,
        'ended': attempt.ended,
        'announced': start.announced,
        'exited': start.exited,
    }
    parts = [f'{k} {v - origin:.3f}' for k, v in times.items() if v]
    return (
        f'{attempt.id} {attempt.route} at {start.name} {attempt.result.value}'
        f' {attempt.status}, {", ".join(parts)}, arrived'
        f' {record.arrivals[attempt.id]}, ran {record.runs[attempt.id]},'
        f' connection reused {attempt.reused}, {attempt.event_count} events'
        f' after {attempt.last_event_id}, timeout {attempt.timeout:.2f},'
        f' {attempt.body[-200:]!r}'
    )


def _check_answer(record: Record, attempt: Attempt) -> Iterator[str]:
    """Check the rules that also apply to a paused or killed router."""
    complete = attempt.result is AttemptResult.COMPLETE
    if attempt.result is AttemptResult.HUNG:
        yield 'a: not ended in time'
    if attempt.refused and record.runs[attempt.id]:
        yield 'b: refused as not run, but ran'
    if attempt.status != 200:
        return
    base_id = get_base_id(attempt.id)
    numbers = range(attempt.last_event_id + 1, attempt.event_count + 1)
    body = b''.join(make_event(base_id, number) for number in numbers)
    if not attempt.event_count:
        body = f'{base_id} ran'.encode()
    if not body.startswith(attempt.body):
        yield 'c: parts are missing, duplicated or out of order'
    if complete and attempt.body != body:
        yield 'c: cut, but looks complete'


def _check_result(record: Record, attempt: Attempt) -> str:
    """Check an attempt that failed at a router that was not paused."""
    start = attempt.router_start
    if start.paused or attempt.served or attempt.refused:
        return ''
    if attempt.result is AttemptResult.UNREACHED and attempt.began < (
        start.ready or math.inf
    ):
        return ''
    if attempt.overdue and (
        attempt.result is AttemptResult.CUT or attempt.status == 504
    ):
        return ''
    if start.signalled is None:
        return 'e: failed at a router that was not signalled'
    passed = attempt.ended - start.signalled
    notice = min(record.grace * NOTICE_SHARE, MAX_NOTICE_SECONDS)
    if attempt.sent is None:
        return 'a: closed in the notice period' if passed < notice else ''
    if attempt.result is AttemptResult.CLOSED:
        read = attempt.sent < start.signalled + notice - READ_SECONDS
        accepted = read or record.arrivals[attempt.id] or passed < notice
        return 'a: accepted, but closed without an answer' if accepted else ''
    if attempt.began > (start.announced or math.inf):
        return 'a: accepted after the signal, but not completed'
    early = passed < record.grace * SERVED_SHARE
    return 'e: given up before the end of the grace period' if early else ''


def _check_exit(record: Record, start: RouterStart) -> Iterator[str]:
    if start.paused or start.signalled is None:
        return
    if start.killed:
        yield f'd: {start.name} did not exit in time'
        return
    lost = [
        attempt
        for attempt in record.attempts
        if attempt.router_start is start
        and not attempt.overdue
        and (
            attempt.result is AttemptResult.CUT
            or (
                attempt.result is AttemptResult.CLOSED
                and record.arrivals[attempt.id]
            )
            or _was_given_up(record, attempt)
        )
    ]
    if start.exit_code != int(bool(lost)):
        yield (
            f'd: {start.name} exited with {start.exit_code} and lost'
            f' {len(lost)}'
        )


def _was_given_up(record: Record, attempt: Attempt) -> bool:
    """Return whether it was accepted, but given up at the end of the grace."""
    signalled = attempt.router_start.signalled
    if signalled is None or attempt.result is not AttemptResult.COMPLETE:
        return False
    accepted = attempt.began < signalled + record.grace * NOTICE_SHARE
    passed = attempt.ended - signalled
    late = passed >= record.grace * SERVED_SHARE
    return accepted and late and attempt.status in GIVEN_UP_STATUSES
