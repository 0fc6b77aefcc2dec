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

"""Tests of the event log.

Events are rate-limited and never block the process; a failed request keeps
all its events.
"""

import asyncio
import datetime
import logging
import os
import tempfile
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
import msgspec

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.path.event_buffer import EventBuffer
from lifttrestle.internal.telemetry.event_log import get_event_log
from lifttrestle.internal.telemetry.event_sink import BURST
from lifttrestle.internal.telemetry.event_sink import EventSink
from lifttrestle.internal.telemetry.event_sink import FLUSH_SECONDS
from lifttrestle.internal.telemetry.event_sink import SUMMARY_SECONDS
from lifttrestle.internal.telemetry.line_output import LineOutput
from lifttrestle.internal.telemetry.line_output import MAX_LINES
from lifttrestle.internal.telemetry.line_output import MAX_PENDING_BYTES

START = datetime.datetime(2026, 12, 2, tzinfo=datetime.timezone.utc)
EXCESS = 50


class SinkCase(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(START)
        self.logger = logging.getLogger('lifttrestle')
        before = (self.logger.handlers, self.logger.level)
        self.addCleanup(self.restore, *before)

    def restore(self, handlers, level):
        self.logger.handlers = handlers
        self.logger.setLevel(level)

    def open_sink(self, stream):
        sink = EventSink(stream, self.clock, 'vm-1')
        self.logger.handlers = [sink]
        self.logger.setLevel('INFO')
        return sink

    def open_stream(self):
        stream = tempfile.TemporaryFile('w+')
        self.addCleanup(stream.close)
        return stream

    def read(self, stream):
        stream.seek(0)
        lines = stream.read().splitlines()
        return [msgspec.json.decode(line) for line in lines]


class TestSink(SinkCase):
    def test_event_is_one_json_line_with_its_fields(self):
        stream = self.open_stream()
        sink = self.open_sink(stream)
        get_event_log('x').info('view.applied', version=7)
        sink.close()
        (line,) = self.read(stream)
        self.assertEqual(line['event'], 'view.applied')
        self.assertEqual((line['version'], line['vm']), (7, 'vm-1'))
        self.assertEqual(line['at'], '2026-12-02T00:00:00Z')

    def test_lines_of_a_running_process_are_written_together(self):
        # Guards against one write per line, five for one request.
        stream = self.open_stream()
        sink = self.open_sink(stream)
        log = get_event_log('x')

        async def run():
            writing = asyncio.create_task(sink.run(Ticker(self.clock)))
            await asyncio.sleep(0)
            for number in range(5):
                log.info('step', number=number)
            self.assertEqual(self.read(stream), [])
            with mock.patch('os.write', wraps=os.write) as write:
                self.clock.advance(FLUSH_SECONDS)
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            write.assert_called_once()
            writing.cancel()
            await asyncio.gather(writing, return_exceptions=True)

        asyncio.run(run())
        numbers = [line['number'] for line in self.read(stream)]
        self.assertEqual(numbers, [*range(5)])
        # After ``run`` has ended, lines are written immediately.
        log.info('last')
        self.assertEqual(self.read(stream)[-1]['event'], 'last')

    def test_events_over_the_rate_are_counted_by_name(self):
        stream = self.open_stream()
        sink = self.open_sink(stream)
        log = get_event_log('x')
        for _ in range(int(BURST) + EXCESS):
            log.info('busy.kind')
        log.info('other.kind')
        self.clock.advance(SUMMARY_SECONDS)
        log.info('other.kind')
        sink.close()
        lines = self.read(stream)
        (summary,) = [x for x in lines if x['event'] == 'log.left_out']
        self.assertEqual(summary['over_rate'], {'busy.kind': EXCESS})
        names = [line['event'] for line in lines]
        self.assertEqual(names.count('busy.kind'), BURST)
        self.assertEqual(names.count('other.kind'), 2)

    def test_failed_request_keeps_all_events_above_the_rate(self):
        stream = self.open_stream()
        sink = self.open_sink(stream)
        for number in range(int(BURST) + EXCESS):
            event_buffer = EventBuffer(self.clock, f'good-{number}')
            event_buffer.write('complete', failed=False)
        event_buffer = EventBuffer(self.clock, 'bad')
        event_buffer.add('sent', instance='p1')
        event_buffer.add('refused', kind='overloaded')
        event_buffer.write('overloaded', failed=True)
        sink.close()
        events = [
            line['event']
            for line in self.read(stream)
            if line.get('request') == 'bad'
        ]
        expected = ['request.sent', 'request.refused', 'request.ended']
        self.assertEqual(events, expected)

    def test_stalled_reader_does_not_block_logging(self):
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        stream = os.fdopen(writing, 'w')
        sink = self.open_sink(stream)
        log = get_event_log('x')
        for _ in range(2 * MAX_LINES):
            log.info('much', whole=True, text='x' * 100)
        # Nothing was read: the pipe is full and the buffer is bounded.
        self.assertGreater(sink.dropped, 0)
        drained = os.fdopen(os.dup(reading), 'rb')
        drained.read(1024)
        drained.close()


class TestLineOutput(unittest.TestCase):
    def setUp(self):
        self.reading, self.writing = os.pipe()
        self.addCleanup(os.close, self.writing)
        os.set_blocking(self.reading, False)
        self.output = LineOutput(self.writing)

    def drain(self):
        data = b''
        while True:
            try:
                data += os.read(self.reading, 1 << 16)
            except BlockingIOError:
                return data

    def read_all(self):
        data = b''
        while True:
            self.output.flush()
            part = self.drain()
            data += part
            if not part:
                return data

    @given(
        st.lists(
            st.tuples(st.characters(codec='utf-8'), st.integers(0, 90_000)),
            max_size=5,
        )
    )
    def test_lines_of_any_length_arrive_whole_and_in_order(self, lines):
        texts = [sign.replace('\n', 'x') * count for sign, count in lines]
        for text in texts:
            self.output.put(text)
        expected = ''.join(f'{text}\n' for text in texts).encode()
        self.assertEqual(self.read_all(), expected)

    def test_line_longer_than_the_pipe_buffer_does_not_block(self):
        self.output.put('x' * 1_000_000)
        self.output.flush()
        self.assertEqual(self.read_all(), b'x' * 1_000_000 + b'\n')

    def test_regression_long_lines_took_all_memory(self):
        for _ in range(1000):
            self.output.put('x' * 30_000)
        self.assertGreater(self.output.dropped, 0)
        size = len(self.read_all())
        self.assertLessEqual(size, MAX_PENDING_BYTES)
        # All of it may be used again once it was written.
        dropped = self.output.dropped
        for _ in range(100):
            self.output.put('x' * 30_000)
        self.assertEqual(self.output.dropped, dropped)
        self.assertEqual(len(self.read_all()), 100 * 30_001)

    def test_lines_after_the_reader_closed_count_as_dropped(self):
        os.close(self.reading)
        for _ in range(3):
            self.output.put('x' * 3000)
        self.output.flush()
        self.assertEqual(self.output.dropped, 3)
        self.reading, writing = os.pipe()
        os.close(writing)

    def test_rest_of_a_partially_written_chunk_is_written_next(self):
        real = os.write
        with mock.patch('os.write', lambda fd, data: real(fd, data[:7])):
            self.output.put('abcdefghijkl')
            self.output.put('mnop')
            self.assertEqual(self.read_all(), b'abcdefghijkl\nmnop\n')

    def tearDown(self):
        os.close(self.reading)
