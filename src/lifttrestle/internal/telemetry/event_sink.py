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

"""Writes events to a stream, rate-limited and without blocking.

Events of one name above the rate limit are suppressed and counted; a summary
event reports the counts. Lines are buffered in memory until the reader of the
stream accepts them; lines beyond the buffer limit are dropped and counted.
The event loop never blocks on the stream.
"""

import collections
import logging
from typing import TextIO

import msgspec

from lifttrestle.internal.admission.bucket import TokenBucket
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.telemetry.event_log import FIELDS
from lifttrestle.internal.telemetry.event_log import RATE_EXEMPT
from lifttrestle.internal.telemetry.event_log import ROOT
from lifttrestle.internal.telemetry.line_output import LineOutput

# Rate limit of the events of one name: events per second and burst size. A
# router of the known deployments serves about 20 requests a second; ten times
# that rate is logged in full.
RATE = 200.0
BURST = 400.0
SUMMARY_SECONDS = 10.0
CLOSE_SECONDS = 0.3
# Lines are buffered for this long, so that one write takes several of them. A
# process that is killed loses the lines of the last interval.
FLUSH_SECONDS = 0.1


class EventSink(logging.Handler):
    """Writes events as JSON lines.

    :param vm: name of this machine, a field of each line.
    """

    def __init__(self, stream: TextIO, clock: Clock, vm: str) -> None:
        super().__init__()
        self._output = LineOutput(stream.fileno())
        self._clock = clock
        self._vm = vm
        self._buckets: dict[str, TokenBucket] = {}
        self._suppressed: collections.Counter[str] = collections.Counter()
        self._summary_at = clock.monotonic() + SUMMARY_SECONDS
        self._is_buffering = False

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped since the last summary."""
        return self._output.dropped

    async def run(self, ticker: Ticker) -> None:
        """Buffer lines and write them periodically, until cancelled."""
        self._is_buffering = True
        try:
            while True:
                await ticker.wait(FLUSH_SECONDS)
                self._output.flush()
        finally:
            self._is_buffering = False

    def emit(self, record: logging.LogRecord) -> None:
        """Write an event, or suppress it if it exceeds the rate limit."""
        now = self._clock.monotonic()
        if now >= self._summary_at:
            self._summarize(now)
        if not getattr(record, RATE_EXEMPT, False) and not self._admit(
            record, now
        ):
            self._suppressed[record.msg] += 1
            return
        self._write_line(self._encode(record))

    def close(self) -> None:
        """Write the buffered lines, waiting briefly for a stalled reader."""
        if self._suppressed or self._output.dropped:
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
        if not self._suppressed and not dropped:
            return
        summary = {
            'at': self._clock.now(),
            'vm': self._vm,
            'level': 'warning',
            'event': 'log.left_out',
            'over_rate': dict(self._suppressed),
            'dropped': dropped,
        }
        self._suppressed.clear()
        self._output.dropped = 0
        self._write_line(msgspec.json.encode(summary).decode())

    def _write_line(self, line: str) -> None:
        self._output.put(line)
        if not self._is_buffering:
            self._output.flush()


def start_event_sink(
    stream: TextIO, clock: Clock, vm: str, level: str
) -> EventSink:
    """Write the package's events of at least ``level`` to a stream."""
    # Lines contain none of these attributes; logProcesses costs a system call
    # per record.
    logging.logProcesses = False
    logging.logThreads = False
    logging.logMultiprocessing = False
    sink = EventSink(stream, clock, vm)
    root = logging.getLogger(ROOT)
    root.handlers = [sink]
    root.setLevel(level.upper())
    root.propagate = False
    return sink
