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

"""Judges a run by what callers and the balancer saw.

There are three rules, each of which is checked by itself:

a. Of the calls that are first sent later than the recovery time after the
   last start of the routers, a quarter is served, if it was before the loss.
b. A router that says that it is ready takes a new connection within the
   contact time, if seven callers or more try.
c. Callers are served alike, whichever router they meet: a router's first tries
   are served two thirds as often as those at the others.
"""

import collections
from collections.abc import Iterator
import dataclasses
import json
import pathlib
import statistics

RECOVERY_SECONDS = 15.0
CONTACT_SECONDS = 4.0
LEAST_SHARE = 0.25
LEAST_CALLERS = 7
LEAST_RATIO = 2 / 3
# A router's share counts from this many first tries on.
LEAST_TRIES = 20
WINDOW_SECONDS = 2.0
MAX_FAULTS = 5
# Processor cores, and calls of the store, per second.
USAGE = (
    'routers',
    'replicas',
    'callers',
    'store',
    'store waits',
    'reads',
    'writes',
    'refused',
)


@dataclasses.dataclass
class Records:
    """What a run recorded; times are monotonic seconds.

    :ivar lost: when power was lost first.
    :ivar returned: when the routers were started last.
    :ivar calls: of all callers, see ``callers.Call``.
    :ivar checks: of readiness, by router.
    :ivar samples: calls of the store and processor time, each second.
    """

    began: float = 0.0
    lost: float = 0.0
    returned: float = 0.0
    ended: float = 0.0
    calls: list[dict] = dataclasses.field(default_factory=list)
    checks: dict[str, list[tuple[float, bool]]] = dataclasses.field(
        default_factory=dict
    )
    samples: list[dict[str, float]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Outcome:
    """The outcome of one run.

    :ivar before: share of the calls that was served before the loss.
    :ivar after: the same later than the recovery time.
    :ivar ready_seconds: until half, and all, of the routers were ready.
    :ivar windows: what was seen in each window, from the last start on.
    """

    faults: list[str]
    before: float
    after: float
    ready_seconds: tuple[float, float]
    windows: list[str]


def read_records(records: Records, folder: pathlib.Path) -> None:
    """Add what the processes of the callers have written."""
    for path in sorted(folder.glob('calls-*.json')):
        records.calls.extend(_read_lines(path))
    for path in sorted(folder.glob('checks-*.json')):
        for check in _read_lines(path):
            router = records.checks.setdefault(check['router'], [])
            router.append((check['at'], check['ready']))
    for checks in records.checks.values():
        checks.sort()


def _read_lines(path: pathlib.Path) -> Iterator[dict]:
    for line in path.read_text().splitlines():
        try:
            yield json.loads(line)
        except ValueError:
            # The process was killed as it wrote its last line.
            return


def judge(records: Records) -> Outcome:
    """Return the outcome of a run."""
    settled = records.returned + RECOVERY_SECONDS
    before = _get_share(_list_calls(records, records.began, records.lost))
    after = _get_share(_list_calls(records, settled, records.ended))
    faults = [
        *_check_recovery(before, after),
        *_check_connections(records, settled),
        *_check_routers(records, settled),
    ]
    return Outcome(
        faults,
        round(before, 3),
        round(after, 3),
        _find_ready_seconds(records),
        _describe(records),
    )


def _list_calls(records: Records, since: float, until: float) -> list[dict]:
    return [call for call in records.calls if since <= call['at'] < until]


def _get_share(calls: list[dict]) -> float:
    served = sum(call['served'] for call in calls)
    return served / len(calls) if calls else 0.0


def _check_recovery(before: float, after: float) -> list[str]:
    if before < LEAST_SHARE or after >= LEAST_SHARE:
        return []
    return [f'a: {after:.3f} are served after the return, {before:.3f} before']


def _check_connections(records: Records, since: float) -> list[str]:
    """Return the ready routers that took no new connection for too long."""
    tries = collections.defaultdict(list)
    for call in _list_calls(records, since, records.ended):
        for tried in call['tries']:
            if tried['fresh']:
                taken = not tried['error'].startswith('connect')
                tries[tried['router']].append((tried['at'], taken))
    return [
        f'b: {router} took no connection in {CONTACT_SECONDS} s'
        for router, items in sorted(tries.items())
        if _took_none(sorted(items), records.checks[router])
    ][:MAX_FAULTS]


def _took_none(
    tries: list[tuple[float, bool]], checks: list[tuple[float, bool]]
) -> bool:
    for number, (began, _) in enumerate(tries):
        until = began + CONTACT_SECONDS
        window = [taken for at, taken in tries[number:] if at < until]
        ready = [ready for at, ready in checks if began <= at < until]
        if any(window) or len(window) < LEAST_CALLERS:
            continue
        if ready and all(ready):
            return True
    return False


def _check_routers(records: Records, since: float) -> list[str]:
    """Return the routers whose callers are served less than the others."""
    first: dict[str, list[bool]] = collections.defaultdict(list)
    for call in _list_calls(records, since, records.ended):
        if call['tries']:
            tried = call['tries'][0]
            served = call['served'] and len(call['tries']) == 1
            first[tried['router']].append(served)
    everything = [served for items in first.values() for served in items]
    failed = len(everything) - sum(everything)
    if failed <= 10 + len(everything) / 50:
        return []
    faults = []
    for router, items in sorted(first.items()):
        others = len(everything) - len(items)
        if len(items) < LEAST_TRIES or not others:
            continue
        share = sum(items) / len(items)
        other = (sum(everything) - sum(items)) / others
        if share < LEAST_RATIO * other:
            faults.append(
                f'c: {router} served {share:.2f}, others {other:.2f}'
            )
    return faults[:MAX_FAULTS]


def _find_ready_seconds(records: Records) -> tuple[float, float]:
    firsts = []
    for checks in records.checks.values():
        times = [
            at - records.returned
            for at, ready in checks
            if ready and at >= records.returned
        ]
        firsts.append(times[0] if times else float('inf'))
    if not firsts:
        return (float('inf'), float('inf'))
    return (round(statistics.median(firsts), 1), round(max(firsts), 1))


def _describe(records: Records) -> list[str]:
    """Return a line for each window from the loss on."""
    lines = []
    start = records.lost - 2 * WINDOW_SECONDS
    while start < records.ended:
        end = start + WINDOW_SECONDS
        calls = _list_calls(records, start, end)
        ends = collections.Counter(
            call['tries'][-1]['error'] or call['tries'][-1]['status']
            for call in calls
            if call['tries'] and not call['served']
        )
        ready = [
            ready
            for checks in records.checks.values()
            for at, ready in checks
            if start <= at < end
        ]
        usage = _describe_usage(records, start, end)
        lines.append(
            f'{start - records.returned:6.1f} s: {_get_share(calls):.2f} of'
            f' {len(calls)} served, ready'
            f' {sum(ready) / max(len(ready), 1):.2f},'
            f' {dict(ends.most_common(4))}{usage}'
        )
        start = end
    return lines


def _describe_usage(records: Records, start: float, end: float) -> str:
    before = [s for s in records.samples if s['second'] < start]
    until = [s for s in records.samples if s['second'] < end]
    if not before or len(until) == len(before):
        return ''
    first, last = before[-1], until[-1]
    seconds = last['second'] - first['second']
    rates = {
        name: round((last[name] - first[name]) / seconds, 1) for name in USAGE
    }
    pending = round(last['pending'])
    return f' {rates}, {pending} calls pending'
