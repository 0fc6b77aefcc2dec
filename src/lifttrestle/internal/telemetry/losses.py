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

"""Finds lost and late requests in logs, with their times and causes.

The logs are the only input: the last event of a request gives its outcome,
and the events before it the cause. The events of successful requests are
subject to the rate limit of the log, so their count is a lower bound.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import datetime
import enum
import pathlib

import msgspec

from lifttrestle.internal.telemetry.log_lines import Line
from lifttrestle.internal.telemetry.log_lines import read_logs
from lifttrestle.internal.telemetry.log_lines import REQUEST_PREFIX

COMPLETE = 'complete'
CUT = 'cut'
CALLER_GONE = 'caller gone'
# If an answer began later than estimated by more than this, the estimate was
# wrong and the choice of the upstream is not the only cause of the delay. On
# a day without incidents, the error of nine in ten estimates is smaller.
ESTIMATE_ERROR_MS = 150.0


class Outcome(enum.Enum):
    """Outcome of a request for its caller.

    LATE: complete, but a latency or pause target was missed. REFUSED: not
    executed by any upstream. LEFT: the caller disconnected. FAILED: all other
    requests without a complete answer.
    """

    IN_TIME = 'in time'
    LATE = 'late'
    REFUSED = 'refused'
    FAILED = 'failed'
    LEFT = 'left'


@dataclasses.dataclass(frozen=True)
class RequestEnd:
    """Outcome of one request.

    :ivar at: time of arrival.
    :ivar cause: outcome and cause; empty for a request in time.
    """

    at: datetime.datetime
    service: str
    outcome: Outcome
    cause: str


@dataclasses.dataclass(frozen=True)
class Window:
    """Requests that arrived within one interval.

    :ivar after: start of the interval, since the first arrival in the logs.
    :ivar counts: requests by outcome.
    :ivar causes: requests not in time by cause, the most frequent first.
    """

    after: datetime.timedelta
    counts: dict[Outcome, int]
    causes: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True)
class Losses:
    """Lost and late requests of some logs.

    :ivar causes: totals over all windows, the most frequent first.
    :ivar broken: number of lines that could not be parsed.
    """

    windows: tuple[Window, ...]
    causes: tuple[tuple[str, int], ...]
    broken: int


def find_losses(
    paths: Iterable[pathlib.Path], span: datetime.timedelta
) -> Losses:
    """Return the losses of some logs, in windows of length ``span``.

    :raises OSError: if a file can't be read.
    """
    logs = read_logs(paths)
    ends = _list_ends(logs.lines)
    if not ends:
        return Losses((), (), logs.broken)
    first = min(end.at for end in ends)
    grouped: dict[int, list[RequestEnd]] = collections.defaultdict(list)
    for end in ends:
        grouped[(end.at - first) // span].append(end)
    windows = tuple(
        Window(number * span, _count_outcomes(group), _count_causes(group))
        for number, group in sorted(grouped.items())
    )
    return Losses(windows, _count_causes(ends), logs.broken)


def render_table(losses: Losses) -> str:
    """Return a table of the windows, followed by the total causes."""
    names = [outcome.value for outcome in Outcome]
    rows = ['   from s ' + ''.join(f'{name:>9}' for name in names)]
    for window in losses.windows:
        seconds = window.after.total_seconds()
        counts = ''.join(f'{window.counts[outcome]:>9}' for outcome in Outcome)
        frequent = ', '.join(
            f'{cause} {count}' for cause, count in window.causes[:3]
        )
        rows.append(f'{seconds:>9.1f} {counts}  {frequent}'.rstrip())
    rows.append('')
    rows.extend(f'{count:>6}  {cause}' for cause, count in losses.causes)
    if losses.broken:
        rows.append(f'{losses.broken} broken lines were skipped')
    return '\n'.join(rows)


def render_json(losses: Losses) -> str:
    """Return the losses as JSON."""
    content = {
        'windows': [
            {
                'after_s': window.after.total_seconds(),
                'counts': {
                    outcome.value: count
                    for outcome, count in window.counts.items()
                },
                'causes': dict(window.causes),
            }
            for window in losses.windows
        ],
        'causes': dict(losses.causes),
        'broken_lines': losses.broken,
    }
    return msgspec.json.encode(content).decode()


def _list_ends(lines: Iterable[Line]) -> list[RequestEnd]:
    events_by_request: dict[tuple[str, str], list[Line]] = (
        collections.defaultdict(list)
    )
    for line in lines:
        if line.event.startswith(REQUEST_PREFIX):
            key = (line.vm, str(line.fields.get('request')))
            events_by_request[key].append(line)
    return [
        _summarize_request(events)
        for events in events_by_request.values()
        if events[-1].event == f'{REQUEST_PREFIX}ended'
    ]


def _summarize_request(events: list[Line]) -> RequestEnd:
    last = events[-1]
    steps = {line.event.removeprefix(REQUEST_PREFIX): line for line in events}
    outcome = _find_outcome(steps, last)
    cause = ''
    if outcome is not Outcome.IN_TIME:
        cause = f'{outcome.value}: {_find_cause(steps, last)}'
    service = str(last.fields.get('service') or '')
    return RequestEnd(last.at - last.after, service, outcome, cause)


def _find_outcome(steps: dict[str, Line], last: Line) -> Outcome:
    result = str(last.fields.get('outcome', ''))
    if result == COMPLETE:
        return Outcome.LATE if _is_late(steps, last) else Outcome.IN_TIME
    if result.startswith(CALLER_GONE):
        return Outcome.LEFT
    refused = steps.get('refused')
    if refused is not None and refused.fields.get('ran') == 'not run':
        return Outcome.REFUSED
    return Outcome.FAILED


def _is_late(steps: dict[str, Line], last: Line) -> bool:
    return _exceeds(
        last, 'begun_ms', steps, 'target_ms'
    ) or _exceeds_pause_target(steps, last)


def _exceeds_pause_target(steps: dict[str, Line], last: Line) -> bool:
    return _exceeds(last, 'longest_pause_ms', steps, 'pause_target_ms')


def _exceeds(
    last: Line, value_field: str, steps: dict[str, Line], target_field: str
) -> bool:
    """Return whether a value exceeds a target logged at admission."""
    admitted = steps.get('admitted')
    target = admitted.fields.get(target_field) if admitted else None
    value = last.fields.get(value_field)
    if target is None or value is None:
        return False
    return float(value) > float(target)


def _is_late_by_pause_only(steps: dict[str, Line], last: Line) -> bool:
    begun_late = _exceeds(last, 'begun_ms', steps, 'target_ms')
    return not begun_late and _exceeds_pause_target(steps, last)


def _find_cause(steps: dict[str, Line], last: Line) -> str:
    """Return the description of the first matching rule."""
    for applies, describe in CAUSES:
        if applies(steps, last):
            return describe(steps, last)
    return 'the upstream was expected to be late'


def _has_step(name: str) -> Callable[[dict[str, Line], Line], bool]:
    return lambda steps, last: name in steps


def _was_slower_than_expected(steps: dict[str, Line], last: Line) -> bool:
    first = last.fields.get('first_ms')
    expected = last.fields.get('expected_ms')
    if first is None or expected is None:
        return False
    return float(first) - float(expected) > ESTIMATE_ERROR_MS


def _was_cut(steps: dict[str, Line], last: Line) -> bool:
    return last.fields.get('outcome') == CUT


def _describe_failed_attempt(steps: dict[str, Line], last: Line) -> str:
    return f'an attempt ended with {steps["attempt_failed"].fields["kind"]}'


def _describe_refusal(steps: dict[str, Line], last: Line) -> str:
    return str(steps['refused'].fields.get('kind'))


def _has_no_answer(steps: dict[str, Line], last: Line) -> bool:
    return 'sent' in steps and last.fields.get('first_ms') is None


Rule = tuple[
    Callable[[dict[str, Line], Line], bool],
    Callable[[dict[str, Line], Line], str],
]
# Causes that a request was lost or late, the most specific first.
CAUSES: tuple[Rule, ...] = (
    (_was_cut, lambda steps, last: 'its router stopped'),
    (_has_step('attempt_failed'), _describe_failed_attempt),
    (
        _has_step('out_of_time'),
        lambda steps, last: 'the upstream did not answer',
    ),
    (_has_step('refused'), _describe_refusal),
    (_is_late_by_pause_only, lambda steps, last: 'its stream paused'),
    (_has_step('held'), lambda steps, last: 'it waited for an upstream'),
    (_has_no_answer, lambda steps, last: 'the upstream did not answer'),
    (
        _was_slower_than_expected,
        lambda steps, last: 'the upstream was slower than expected',
    ),
)


def _count_outcomes(ends: Iterable[RequestEnd]) -> dict[Outcome, int]:
    counts = collections.Counter(end.outcome for end in ends)
    return {outcome: counts[outcome] for outcome in Outcome}


def _count_causes(ends: Iterable[RequestEnd]) -> tuple[tuple[str, int], ...]:
    counts = collections.Counter(end.cause for end in ends if end.cause)
    return tuple(counts.most_common())
