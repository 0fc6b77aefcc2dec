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

"""Explains one request from the logs of all routers."""

from collections.abc import Iterable
import dataclasses
import datetime
import pathlib

import msgspec

from lifttrestle.internal.telemetry.log_lines import Line
from lifttrestle.internal.telemetry.log_lines import read_logs
from lifttrestle.internal.telemetry.log_lines import REQUEST_PREFIX

# Events about the state of a router are relevant to a request from this long
# before its arrival until this long after its end.
CONTEXT_BEFORE = datetime.timedelta(seconds=5)
CONTEXT_AFTER = datetime.timedelta(seconds=1)
# Events about the state that a router knows.
STATE_EVENTS = ('view.', 'watch.', 'weights.', 'roster.', 'router.', 'log.')
# Events about an upstream, relevant only if the request chose it.
UPSTREAM_EVENTS = 'upstream.'
# Events about the limit of one start of an upstream, relevant at any age: a
# limit may be much older than the request that it explains.
LIMIT_EVENTS = 'limit.'
# Events about the digest of a request or of a part of its prompt, relevant at
# any age: they may come from another request with that digest, and be as old
# as its hold.
DIGEST_EVENTS = ('crash.', 'hold.')
# Fields of each line that the timeline does not repeat.
OMITTED_FIELDS = ('at', 'vm', 'level', 'event', 'request', 'after_ms')


class UnknownRequest(Exception):
    """No line of the logs refers to the request."""


@dataclasses.dataclass(frozen=True)
class Explanation:
    """The events of a request and the state that explains them.

    :ivar steps: events of the request, by router and time.
    :ivar beliefs: events about the state of its routers that may explain it.
    :ivar broken: number of lines that could not be parsed.
    """

    request_id: str
    steps: tuple[Line, ...]
    beliefs: tuple[Line, ...]
    broken: int


def explain(request_id: str, paths: Iterable[pathlib.Path]) -> Explanation:
    """Return the explanation of a request.

    :raises UnknownRequest: if no line refers to it.
    :raises OSError: if a file can't be read.
    """
    logs = read_logs(paths)
    lines = logs.lines
    steps = sorted(
        (line for line in lines if line.fields.get('request') == request_id),
        key=lambda line: (line.vm, line.at, line.fields.get('after_ms', 0)),
    )
    if not steps:
        raise UnknownRequest(
            f'no line refers to request {request_id!r}; {len(lines)} events'
            f' were read, {logs.broken} lines could not be parsed; check the'
            ' id and pass the logs of every router'
        )
    beliefs = [line for line in lines if _is_relevant(line, steps)]
    beliefs.sort(key=lambda line: line.at)
    return Explanation(request_id, tuple(steps), tuple(beliefs), logs.broken)


def render_text(explanation: Explanation) -> str:
    """Return the explanation as a timeline."""
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
        rows.append(f'{explanation.broken} broken lines were skipped')
    return '\n'.join(rows)


def render_json(explanation: Explanation) -> str:
    """Return the explanation as JSON."""
    return msgspec.json.encode(explanation).decode()


def _is_relevant(line: Line, steps: list[Line]) -> bool:
    own_steps = [step for step in steps if step.vm == line.vm]
    if not own_steps or line.event.startswith(REQUEST_PREFIX):
        return False
    digest = line.fields.get('digest')
    if line.event.startswith(DIGEST_EVENTS) and digest is not None:
        return (
            digest in _list_digests(own_steps) and line.at <= own_steps[-1].at
        )
    chosen = {step.fields.get('instance') for step in own_steps}
    if line.event.startswith(LIMIT_EVENTS):
        start = line.fields.get('start', '')
        return (
            start.partition('@')[0] in chosen and line.at <= own_steps[-1].at
        )
    began = own_steps[-1].at - own_steps[-1].after
    if (
        not began - CONTEXT_BEFORE
        <= line.at
        <= own_steps[-1].at + CONTEXT_AFTER
    ):
        return False
    if line.event.startswith(UPSTREAM_EVENTS):
        return line.fields.get('instance') in chosen
    # Events about all holds have no digest.
    return line.event.startswith(STATE_EVENTS + DIGEST_EVENTS)


def _list_digests(steps: list[Line]) -> set[str]:
    """Return the digests of a request and of the parts of its prompt."""
    digests = {step.fields.get('digest') or '' for step in steps}
    for step in steps:
        digests.update((step.fields.get('parts') or '').split())
    return digests


def _render_row(after: datetime.timedelta, line: Line) -> str:
    marker = ' ' if line.event.startswith(REQUEST_PREFIX) else '*'
    fields = ' '.join(
        f'{name}={_render_value(value)}'
        for name, value in line.fields.items()
        if name not in OMITTED_FIELDS and value is not None
    )
    milliseconds = after / datetime.timedelta(milliseconds=1)
    name = line.event.removeprefix(REQUEST_PREFIX)
    return f'{milliseconds:+10.1f} ms {marker} {name:<16} {fields}'


def _render_value(value: object) -> str:
    if isinstance(value, str) and ' ' not in value:
        return value
    return msgspec.json.encode(value).decode()
