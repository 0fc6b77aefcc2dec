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

"""Reads and writes traces as JSON lines: a header, then one request each."""

import dataclasses
import pathlib

import msgspec

from lifttrestle.errors import SettingsInvalid
from lifttrestle.internal.replay.request import TraceHeader
from lifttrestle.internal.replay.request import TraceRequest

FORMAT = 'lifttrestle-trace'
VERSION = 1


@dataclasses.dataclass(frozen=True)
class Trace:
    """A header and the requests in order of their arrival times."""

    header: TraceHeader
    requests: list[TraceRequest]


def make_header(title: str, upstreams: int) -> TraceHeader:
    """Return a header with the current format version."""
    return TraceHeader(FORMAT, VERSION, title, upstreams)


def read_trace(path: pathlib.Path) -> Trace:
    """Read a trace from a file.

    :raises SettingsInvalid: if a line is malformed or the format is not
        supported; the message contains the line number.
    """
    lines = path.read_bytes().splitlines()
    number = 1
    try:
        header = msgspec.json.decode(lines[0], type=TraceHeader)
        requests = []
        for number, line in enumerate(lines[1:], start=2):
            requests.append(msgspec.json.decode(line, type=TraceRequest))
    except (IndexError, msgspec.MsgspecError) as error:
        raise SettingsInvalid(
            f'{path}:{number}: {error}; write a trace as docs/TRACES.md says'
        ) from error
    if (header.format, header.version) != (FORMAT, VERSION):
        raise SettingsInvalid(
            f'{path}:1: format {header.format!r} version {header.version};'
            f' this program reads {FORMAT!r} version {VERSION}'
        )
    return Trace(header, sorted(requests, key=lambda item: item.at))


def write_trace(path: pathlib.Path, trace: Trace) -> None:
    """Write a trace to a file."""
    lines = [trace.header, *trace.requests]
    path.write_bytes(b'\n'.join(map(msgspec.json.encode, lines)) + b'\n')
