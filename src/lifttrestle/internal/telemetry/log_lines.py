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

"""Reads the events in the log files of routers."""

from collections.abc import Iterable
import dataclasses
import datetime
import pathlib
from typing import Any

import msgspec

REQUEST_PREFIX = 'request.'
EVENT_START = '{"at"'


@dataclasses.dataclass(frozen=True)
class Line:
    """One event of a log.

    :ivar vm: machine of the router that logged it.
    :ivar fields: all fields of the line, including ``at`` and ``vm``.
    """

    at: datetime.datetime
    vm: str
    event: str
    fields: dict[str, Any]

    @property
    def after(self) -> datetime.timedelta:
        """Return the time since the arrival of the request."""
        milliseconds = self.fields.get('after_ms', 0)
        return datetime.timedelta(milliseconds=milliseconds)


@dataclasses.dataclass(frozen=True)
class LogLines:
    """The events of some logs.

    :ivar broken: number of lines that could not be parsed.
    """

    lines: tuple[Line, ...]
    broken: int


def read_logs(paths: Iterable[pathlib.Path]) -> LogLines:
    """Return the events of some files; other programs' lines are skipped.

    :raises OSError: if a file can't be read.
    """
    lines: list[Line] = []
    broken = 0
    for path in paths:
        for text in path.read_text(errors='replace').splitlines():
            start = text.find(EVENT_START)
            if start < 0:
                continue
            line = _parse_line(text[start:])
            if line is None:
                broken += 1
            else:
                lines.append(line)
    return LogLines(tuple(lines), broken)


def _parse_line(text: str) -> Line | None:
    try:
        fields = msgspec.json.decode(text)
        at = datetime.datetime.fromisoformat(fields['at'])
        return Line(at, fields['vm'], fields['event'], fields)
    except (ValueError, KeyError, TypeError, msgspec.MsgspecError):
        return None
