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

"""Events: bounded in rate, never in the way, whole for what failed."""

import datetime
import io
import logging
import os
import threading
import unittest

import msgspec

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.path.story import RequestStory
from lifttrestle.internal.telemetry.event_log import get_event_log
from lifttrestle.internal.telemetry.event_sink import BURST
from lifttrestle.internal.telemetry.event_sink import EventSink
from lifttrestle.internal.telemetry.event_sink import QUEUE_LINES
from lifttrestle.internal.telemetry.event_sink import SUMMARY_SECONDS

START = datetime.datetime(2026, 12, 2, tzinfo=datetime.timezone.utc)
OVER = 50


class SlowStream(io.StringIO):
    """Holds the first write until it is let go, and counts all of them."""

    def __init__(self):
        super().__init__()
        self.entered = threading.Event()
        self.let_go = threading.Event()
        self.writes = 0

    def write(self, text):
        self.writes += 1
        self.entered.set()
        self.let_go.wait()
        return super().write(text)


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

    def read(self, stream):
        lines = stream.getvalue().splitlines()
        return [msgspec.json.decode(line) for line in lines]


class TestSink(SinkCase):
    def test_event_is_one_json_line_with_its_fields(self):
        stream = io.StringIO()
        sink = self.open_sink(stream)
        get_event_log('x').info('view.applied', version=7)
        sink.close()
        (line,) = self.read(stream)
        self.assertEqual(line['event'], 'view.applied')
        self.assertEqual((line['version'], line['vm']), (7, 'vm-1'))
        self.assertEqual(line['at'], '2026-12-02T00:00:00Z')

    def test_lines_that_come_together_are_written_together(self):
        # The five lines of a request took five writes.
        stream = SlowStream()
        sink = self.open_sink(stream)
        log = get_event_log('x')
        log.info('first')
        stream.entered.wait()
        for number in range(5):
            log.info('step', number=number)
        stream.let_go.set()
        sink.close()
        lines = self.read(stream)
        self.assertEqual(
            [line.get('number') for line in lines[1:]], [*range(5)]
        )
        self.assertEqual(stream.writes, 2)

    def test_what_is_over_the_rate_is_counted_by_kind(self):
        stream = io.StringIO()
        sink = self.open_sink(stream)
        log = get_event_log('x')
        for _ in range(int(BURST) + OVER):
            log.info('busy.kind')
        log.info('other.kind')
        self.clock.advance(SUMMARY_SECONDS)
        log.info('other.kind')
        sink.close()
        lines = self.read(stream)
        (summary,) = [x for x in lines if x['event'] == 'log.left_out']
        self.assertEqual(summary['over_rate'], {'busy.kind': OVER})
        kinds = [line['event'] for line in lines]
        self.assertEqual(kinds.count('busy.kind'), BURST)
        self.assertEqual(kinds.count('other.kind'), 2)

    def test_story_of_a_failed_request_is_whole_over_the_rate(self):
        stream = io.StringIO()
        sink = self.open_sink(stream)
        for number in range(int(BURST) + OVER):
            story = RequestStory(self.clock, f'good-{number}')
            story.tell('complete', failed=False)
        story = RequestStory(self.clock, 'bad')
        story.add('sent', instance='p1')
        story.add('refused', kind='overloaded')
        story.tell('overloaded', failed=True)
        sink.close()
        told = [
            line['event']
            for line in self.read(stream)
            if line.get('request') == 'bad'
        ]
        expected = ['request.sent', 'request.refused', 'request.ended']
        self.assertEqual(told, expected)

    def test_reader_that_stops_makes_no_one_wait(self):
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        stream = os.fdopen(writing, 'w')
        sink = self.open_sink(stream)
        log = get_event_log('x')
        for _ in range(2 * QUEUE_LINES):
            log.info('much', whole=True, text='x' * 100)
        # Nothing was read; the pipe and the queue are full.
        self.assertGreater(sink.dropped, 0)
        drained = os.fdopen(os.dup(reading), 'rb')
        drained.read(1024)
        drained.close()
