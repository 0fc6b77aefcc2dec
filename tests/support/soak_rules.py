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

"""The rules of planned stops, asked of what callers and upstreams saw."""

import collections
from collections.abc import Iterator
import math

from tests.support.soak_records import Attempt
from tests.support.soak_records import AttemptResult
from tests.support.soak_records import Record
from tests.support.soak_records import RouterStart
from tests.support.soak_upstream import get_text
from tests.support.soak_upstream import make_event

ONCE = ('once', 'late', 'essay')
# Until this share of the grace nothing is given up; timers are never early.
SERVED_SHARE = 0.93
# What a request gets that was taken and can't be served any more.
GIVEN_UP = (502, 503)
# The listener stays open for this share, three seconds at the most.
NOTICE_SHARE = 0.5
NOTICE_SECONDS = 3.0
# What is sent this long before the listener closes was read before that.
READ_SECONDS = 0.5


def find_faults(record: Record) -> list[str]:
    """Return a line on each breach of a rule."""
    found: list[str] = []
    texts: collections.Counter[str] = collections.Counter()
    for item in record.attempts:
        for fault in (*_judge_answer(record, item), _judge_end(record, item)):
            if fault:
                found.append(f'{fault}: {describe(record, item)}')
        if item.route in ONCE:
            texts[get_text(item.id)] += record.runs[item.id]
    found += [f'b: {x} ran {texts[x]} times' for x in texts if texts[x] > 1]
    for life in record.starts:
        found.extend(_judge_life(record, life))
    return found


def describe(record: Record, item: Attempt) -> str:
    """Return what was seen of a try, in seconds after its router's signal."""
    life = item.router_start
    zero = life.signalled or item.began
    moments = {
        'began': item.began,
        'sent': item.sent,
        'ended': item.ended,
        'announced': life.announced,
        'exited': life.exited,
    }
    times = [f'{k} {v - zero:.3f}' for k, v in moments.items() if v]
    return (
        f'{item.id} {item.route} at {life.name} {item.result.value}'
        f' {item.status}, {", ".join(times)}, arrived'
        f' {record.arrivals[item.id]}, ran {record.runs[item.id]}, kept'
        f' {item.kept}, wanted {item.wanted} after {item.after}, limit'
        f' {item.limit:.2f}, {item.body[-200:]!r}'
    )


def _judge_answer(record: Record, item: Attempt) -> Iterator[str]:
    """Judge what holds for any router, also a paused or killed one."""
    whole = item.result is AttemptResult.COMPLETE
    if item.result is AttemptResult.HUNG:
        yield 'a: no end'
    if item.refused and record.runs[item.id]:
        yield 'b: refused as not run, and ran'
    if item.status != 200:
        return
    text = get_text(item.id)
    numbers = range(item.after + 1, item.wanted + 1)
    body = b''.join(make_event(text, number) for number in numbers)
    if not item.wanted:
        body = f'{text} ran'.encode()
    if not body.startswith(item.body):
        yield 'c: parts are missing, doubled or out of order'
    if whole and item.body != body:
        yield 'c: cut short, and looks complete'


def _judge_end(record: Record, item: Attempt) -> str:
    """Judge what a router that was let run did not serve."""
    life = item.router_start
    if life.paused or item.served or item.refused:
        return ''
    if item.result is AttemptResult.UNREACHED and item.began < (
        life.ready or math.inf
    ):
        return ''
    if item.overdue and (
        item.result is AttemptResult.CUT or item.status == 504
    ):
        return ''
    if life.signalled is None:
        return 'e: lost at a router that nobody told to stop'
    passed = item.ended - life.signalled
    notice = min(record.grace * NOTICE_SHARE, NOTICE_SECONDS)
    if item.sent is None:
        return 'a: closed too early' if passed < notice else ''
    if item.result is AttemptResult.CLOSED:
        read = item.sent < life.signalled + notice - READ_SECONDS
        taken = read or record.arrivals[item.id] or passed < notice
        return 'a: taken, and closed without an answer' if taken else ''
    if item.began > (life.announced or math.inf):
        return 'a: taken after the signal, and not ended'
    early = passed < record.grace * SERVED_SHARE
    return 'e: given up while there was time' if early else ''


def _judge_life(record: Record, life: RouterStart) -> Iterator[str]:
    if life.paused or life.signalled is None:
        return
    if life.killed:
        yield f'd: {life.name} had to be killed'
        return
    lost = [
        item
        for item in record.attempts
        if item.router_start is life
        and not item.overdue
        and (
            item.result is AttemptResult.CUT
            or (
                item.result is AttemptResult.CLOSED
                and record.arrivals[item.id]
            )
            or _was_given_up(record, item)
        )
    ]
    if life.code != int(bool(lost)):
        yield f'd: {life.name} exited with {life.code} and lost {len(lost)}'


def _was_given_up(record: Record, item: Attempt) -> bool:
    """Return whether it was taken, and answered at the end of the grace."""
    signalled = item.router_start.signalled
    if signalled is None or item.result is not AttemptResult.COMPLETE:
        return False
    taken = item.began < signalled + record.grace * NOTICE_SHARE
    passed = item.ended - signalled
    late = passed >= record.grace * SERVED_SHARE
    return taken and late and item.status in GIVEN_UP
