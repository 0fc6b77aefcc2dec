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
summary tells how many. A writer thread does the writing: when the reader of
the stream stops, the queue fills up, and what does not fit is dropped and
counted. The event loop never waits.
"""

import collections
import logging
import queue
import threading
from typing import TextIO

import msgspec

from lifttrestle.internal.admission.bucket import TokenBucket
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.telemetry.event_log import FIELDS
from lifttrestle.internal.telemetry.event_log import ROOT
from lifttrestle.internal.telemetry.event_log import WHOLE

# Events of one kind a second, and at once. A router of the known deployments
# serves some 20 requests a second; ten times that is logged in full.
RATE = 200.0
BURST = 400.0
# Lines that wait for the writer: about 2 MB.
QUEUE_LINES = 8000
# Lines that go out in one write: those of some twenty requests.
BATCH_LINES = 100
# The writer lets lines come together for this long after the first one.
COLLECT_SECONDS = 0.05
SUMMARY_SECONDS = 10.0
CLOSE_SECONDS = 0.3


class EventSink(logging.Handler):
    """Formats events as JSON lines and hands them to a writer thread.

    :param vm: stands in each line.
    """

    def __init__(self, stream: TextIO, clock: Clock, vm: str) -> None:
        super().__init__()
        self._stream = stream
        self._clock = clock
        self._vm = vm
        self._buckets: dict[str, TokenBucket] = {}
        self._left_out: collections.Counter[str] = collections.Counter()
        self._dropped = 0
        self._summary_at = clock.monotonic() + SUMMARY_SECONDS
        self._lines: queue.SimpleQueue[str | None] = queue.SimpleQueue()
        self._closing = threading.Event()
        self._writer = threading.Thread(target=self._write, daemon=True)
        self._writer.start()

    @property
    def dropped(self) -> int:
        """Return how many lines the queue had no room for."""
        return self._dropped

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
        if self._left_out or self._dropped:
            self._summarize(self._clock.monotonic())
        self._lines.put(None)
        self._closing.set()
        # If the reader has stopped, the writer ends with the process.
        self._writer.join(CLOSE_SECONDS)
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
        if not self._left_out and not self._dropped:
            return
        summary = {
            'at': self._clock.now(),
            'vm': self._vm,
            'level': 'warning',
            'event': 'log.left_out',
            'over_rate': dict(self._left_out),
            'dropped': self._dropped,
        }
        self._left_out.clear()
        self._dropped = 0
        self._put(msgspec.json.encode(summary).decode())

    def _put(self, line: str) -> None:
        if self._lines.qsize() >= QUEUE_LINES:
            self._dropped += 1
            return
        self._lines.put(line)

    def _write(self) -> None:
        closed = False
        while not closed:
            lines = self._take_batch()
            closed = lines[-1] is None
            written = [line for line in lines if line is not None]
            try:
                self._stream.write(''.join(f'{line}\n' for line in written))
                self._stream.flush()
            except (OSError, ValueError):
                # Nobody reads any more, and there is no other place to tell.
                self._dropped += len(written)

    def _take_batch(self) -> list[str | None]:
        """Wait for a line, and return it with those that follow soon.

        A request's five lines come together. Written one by one, each cost
        a system call and a turn of this thread; while it rests, lines that
        come wake nobody. A process that is killed loses the last ones.
        """
        batch = [self._lines.get()]
        if batch[0] is not None:
            self._closing.wait(COLLECT_SECONDS)
        while batch[-1] is not None and len(batch) < BATCH_LINES:
            try:
                batch.append(self._lines.get_nowait())
            except queue.Empty:
                break
        return batch


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
