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

"""Writes events to a stream, bounded in rate and never in the way.

Each kind of event has a rate; what is over it is left out and counted, and a
summary tells how many. Lines wait in memory until the reader of the stream
has room for them, and what is too much is dropped and counted. The event loop
never waits.
"""

import collections
import logging
from typing import TextIO

import msgspec

from lifttrestle.internal.admission.bucket import TokenBucket
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.telemetry.event_log import FIELDS
from lifttrestle.internal.telemetry.event_log import ROOT
from lifttrestle.internal.telemetry.event_log import WHOLE
from lifttrestle.internal.telemetry.line_output import LineOutput

# Events of one kind a second, and at once. A router of the known deployments
# serves some 20 requests a second; ten times that is logged in full.
RATE = 200.0
BURST = 400.0
SUMMARY_SECONDS = 10.0
CLOSE_SECONDS = 0.3
# Lines of a running process come together for this long; one that is killed
# loses the last ones.
COLLECT_SECONDS = 0.1


class EventSink(logging.Handler):
    """Formats events as JSON lines and writes them.

    :param vm: stands in each line.
    """

    def __init__(self, stream: TextIO, clock: Clock, vm: str) -> None:
        super().__init__()
        self._output = LineOutput(stream.fileno())
        self._clock = clock
        self._vm = vm
        self._buckets: dict[str, TokenBucket] = {}
        self._left_out: collections.Counter[str] = collections.Counter()
        self._summary_at = clock.monotonic() + SUMMARY_SECONDS
        self._collects = False

    @property
    def dropped(self) -> int:
        """Return how many lines were not written since the last summary."""
        return self._output.dropped

    async def run(self, beat: Ticker) -> None:
        """Let lines come together, and write them now and then, for ever."""
        self._collects = True
        try:
            while True:
                await beat.wait(COLLECT_SECONDS)
                self._output.flush()
        finally:
            self._collects = False

    def emit(self, record: logging.LogRecord) -> None:
        """Take an event, or leave it out."""
        now = self._clock.monotonic()
        if now >= self._summary_at:
            self._summarize(now)
        if not getattr(record, WHOLE, False) and not self._admit(record, now):
            self._left_out[record.msg] += 1
            return
        self._put(self._encode(record))

    def close(self) -> None:
        """Write what waits, but do not wait for a reader that stopped."""
        if self._left_out or self._output.dropped:
            self._summarize(self._clock.monotonic())
        self._output.flush(CLOSE_SECONDS)
        super().close()

    def _admit(self, record: logging.LogRecord, now: float) -> bool:
        bucket = self._buckets.get(record.msg)
        if bucket is None:
            bucket = TokenBucket(RATE, BURST, now)
            self._buckets[record.msg] = bucket
        return bucket.take(now) == 0

    def _encode(self, record: logging.LogRecord) -> str:
        line: dict[str, object] = {
            'at': self._clock.now(),
            'vm': self._vm,
            'level': record.levelname.lower(),
            'event': record.getMessage(),
        }
        line.update(getattr(record, FIELDS, {}))
        if record.exc_info:
            line['trace'] = logging.Formatter().formatException(
                record.exc_info
            )
        return msgspec.json.encode(line, enc_hook=str).decode()

    def _summarize(self, now: float) -> None:
        self._summary_at = now + SUMMARY_SECONDS
        dropped = self._output.dropped
        if not self._left_out and not dropped:
            return
        summary = {
            'at': self._clock.now(),
            'vm': self._vm,
            'level': 'warning',
            'event': 'log.left_out',
            'over_rate': dict(self._left_out),
            'dropped': dropped,
        }
        self._left_out.clear()
        self._output.dropped = 0
        self._put(msgspec.json.encode(summary).decode())

    def _put(self, line: str) -> None:
        self._output.put(line)
        if not self._collects:
            self._output.flush()


def start_event_sink(
    stream: TextIO, clock: Clock, vm: str, level: str
) -> EventSink:
    """Send the package's events from ``level`` up to a stream."""
    # Nothing tells these; the first one is a system call a record.
    logging.logProcesses = False
    logging.logThreads = False
    logging.logMultiprocessing = False
    sink = EventSink(stream, clock, vm)
    root = logging.getLogger(ROOT)
    root.handlers = [sink]
    root.setLevel(level.upper())
    root.propagate = False
    return sink
