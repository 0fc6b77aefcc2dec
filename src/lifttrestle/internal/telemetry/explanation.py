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

"""Finds the story of one request in the logs of many machines."""

from collections.abc import Iterable
import dataclasses
import datetime
import pathlib

import msgspec

from lifttrestle.internal.telemetry.log_lines import Line
from lifttrestle.internal.telemetry.log_lines import read_logs
from lifttrestle.internal.telemetry.log_lines import REQUEST

# What a router came to believe this long before a request may explain it.
BEFORE = datetime.timedelta(seconds=5)
AFTER = datetime.timedelta(seconds=1)
# Events of a router's beliefs; those of upstreams count if they were chosen.
BELIEFS = ('view.', 'watch.', 'weights.', 'roster.', 'router.', 'log.')
UPSTREAM = 'upstream.'
# Events of limits name the start of an upstream, and hold for long.
LIMIT = 'limit.'
# Events of a request by its digest, which may be of another try of it, and as
# old as the hold that they tell of.
SAME_REQUEST = ('crash.', 'hold.')
# Fields that each line has and the story does not repeat.
FRAME = ('at', 'vm', 'level', 'event', 'request', 'after_ms')


class UnknownRequest(Exception):
    """No line of the logs is about the request."""


@dataclasses.dataclass(frozen=True)
class Explanation:
    """A request's events and what its router believed around them.

    :ivar broken: lines that could not be read.
    """

    request_id: str
    steps: tuple[Line, ...]
    beliefs: tuple[Line, ...]
    broken: int


def explain(request_id: str, paths: Iterable[pathlib.Path]) -> Explanation:
    """Return the story of a request.

    :raises UnknownRequest: if no line is about it.
    """
    logs = read_logs(paths)
    lines = logs.lines
    steps = sorted(
        (line for line in lines if line.fields.get('request') == request_id),
        key=lambda line: (line.vm, line.at, line.fields.get('after_ms', 0)),
    )
    if not steps:
        raise UnknownRequest(
            f'no line is about request {request_id!r}; {len(lines)} events'
            f' were read, {logs.broken} lines were broken; check the id and'
            ' that the logs of every router are given'
        )
    beliefs = [line for line in lines if _matters(line, steps)]
    beliefs.sort(key=lambda line: line.at)
    return Explanation(request_id, tuple(steps), tuple(beliefs), logs.broken)


def render_text(explanation: Explanation) -> str:
    """Return the story as a timeline."""
    rows = [f'request {explanation.request_id}']
    for vm in dict.fromkeys(step.vm for step in explanation.steps):
        steps = [step for step in explanation.steps if step.vm == vm]
        ended = steps[-1].at
        began = ended - steps[-1].after
        rows.append(f'at {vm}, from {began.isoformat()}')
        timeline = [(step.after, step) for step in steps]
        timeline += [
            (line.at - began, line)
            for line in explanation.beliefs
            if line.vm == vm
        ]
        timeline.sort(key=lambda item: item[0])
        rows.extend(_render_row(after, line) for after, line in timeline)
    if explanation.broken:
        rows.append(f'{explanation.broken} broken lines were passed over')
    return '\n'.join(rows)


def render_json(explanation: Explanation) -> str:
    """Return the story as JSON."""
    return msgspec.json.encode(explanation).decode()


def _matters(line: Line, steps: list[Line]) -> bool:
    mine = [step for step in steps if step.vm == line.vm]
    if not mine or line.event.startswith(REQUEST):
        return False
    if line.event.startswith(SAME_REQUEST):
        digests = {step.fields.get('digest') for step in mine}
        return line.fields['digest'] in digests and line.at <= mine[-1].at
    chosen = {step.fields.get('instance') for step in mine}
    if line.event.startswith(LIMIT):
        start = line.fields.get('start', '')
        return start.partition('@')[0] in chosen and line.at <= mine[-1].at
    began = mine[-1].at - mine[-1].after
    if not began - BEFORE <= line.at <= mine[-1].at + AFTER:
        return False
    if line.event.startswith(UPSTREAM):
        return line.fields.get('instance') in chosen
    return line.event.startswith(BELIEFS)


def _render_row(after: datetime.timedelta, line: Line) -> str:
    mark = ' ' if line.event.startswith(REQUEST) else '*'
    shown = ' '.join(
        f'{name}={_render_value(value)}'
        for name, value in line.fields.items()
        if name not in FRAME and value is not None
    )
    milliseconds = after / datetime.timedelta(milliseconds=1)
    name = line.event.removeprefix(REQUEST)
    return f'{milliseconds:+10.1f} ms {mark} {name:<16} {shown}'


def _render_value(value: object) -> str:
    if isinstance(value, str) and ' ' not in value:
        return value
    return msgspec.json.encode(value).decode()
