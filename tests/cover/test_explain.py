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

"""Tests of the command ``explain``: one request in the logs of routers."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from lifttrestle.internal.cli.main import main


def make_line(second, event, vm='vm-1', **fields):
    at = f'2026-12-02T10:00:{second:06.3f}Z'
    return json.dumps({'at': at, 'vm': vm, 'event': event, **fields})


def make_step(second, name, after_ms, **fields):
    return make_line(
        second,
        f'request.{name}',
        request='r1',
        after_ms=after_ms,
        **fields,
    )


LINES = [
    make_line(7.5, 'watch.lost', table='op', age_s=1.5),
    make_line(8.0, 'upstream.draining', instance='p9'),
    make_line(8.1, 'upstream.draining', instance='p1'),
    make_line(7.9, 'watch.lost', vm='vm-2', table='op'),
    make_step(9.0, 'sent', 12.0, instance='p1'),
    make_step(9.0, 'ended', 900.0, outcome='upstream_failed'),
    make_line(9.0, 'request.ended', request='r2', after_ms=1),
    '{"at": torn',
]


HELD_LINES = [
    make_line(1.0, 'crash.noted', digest='d1', crashed=2),
    make_line(1.1, 'hold.begun', digest='d1', crashed=3),
    make_line(1.2, 'hold.begun', digest='d2', crashed=3),
    make_line(1.3, 'hold.begun', vm='vm-2', digest='d1', crashed=3),
    make_step(59.0, 'admitted', 0.2, digest='d1'),
    make_step(59.0, 'refused', 0.3, kind='crashes_upstreams'),
    make_step(59.0, 'ended', 0.4, outcome='crashes_upstreams'),
    make_line(59.5, 'hold.lifted', digest='d1'),
]

LIMIT_LINES = [
    make_line(1.0, 'limit.learnt', start='p1@17', rate_per_s=0.4),
    make_line(2.0, 'limit.learnt', start='p2@17', rate_per_s=7.0),
    make_step(59.0, 'permit', 0.2, instance='p1', granted=False),
    make_step(59.0, 'sent', 0.3, instance='p3'),
    make_step(59.0, 'ended', 0.4, outcome='complete'),
    make_line(59.5, 'limit.ended', start='p1@17'),
]


class TestExplain(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.log = pathlib.Path(folder.name) / 'vm-1.log'
        self.log.write_text('\n'.join(LINES))

    def run_command(self, *arguments):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out):
            with contextlib.redirect_stderr(err):
                code = main(['explain', *arguments])
        return code, out.getvalue(), err.getvalue()

    def test_timeline_has_the_steps_and_only_relevant_state_events(self):
        code, out, _ = self.run_command('r1', str(self.log))
        self.assertEqual(code, 0)
        rows = out.splitlines()
        names = [row.split()[3] for row in rows if '* ' in row]
        self.assertEqual(names, ['watch.lost', 'upstream.draining'])
        self.assertIn('instance=p1', out)
        self.assertNotIn('p9', out)
        self.assertNotIn('vm-2', out)
        self.assertIn('1 broken lines', rows[-1])
        sent = next(row for row in rows if ' sent ' in row)
        self.assertTrue(sent.strip().startswith('+12.0 ms'), sent)

    def test_lines_may_have_a_prefix(self):
        prefixed = [f'  12.0 vm-1 {line}' for line in LINES]
        self.log.write_text('\n'.join(prefixed))
        code, out, _ = self.run_command('r1', str(self.log))
        self.assertEqual((code, 'sent' in out), (0, True))

    def test_json_has_the_steps_and_the_number_of_broken_lines(self):
        _, out, _ = self.run_command('r1', str(self.log), '--json')
        explanation = json.loads(out)
        self.assertEqual(len(explanation['steps']), 2)
        self.assertEqual(explanation['broken'], 1)

    def test_unknown_request_reports_the_number_of_events_read(self):
        code, _, err = self.run_command('r9', str(self.log))
        self.assertEqual(code, 1)
        self.assertIn("'r9'", err)
        self.assertIn('7 events', err)

    def test_missing_file_is_reported(self):
        code, _, err = self.run_command('r1', '/no/such.log')
        self.assertEqual(code, 2)
        self.assertIn('/no/such.log', err)

    def test_held_request_is_explained_by_crashes_of_earlier_attempts(self):
        self.log.write_text('\n'.join(HELD_LINES))
        code, out, _ = self.run_command('r1', str(self.log))
        self.assertEqual(code, 0)
        events = [line.split()[3] for line in out.splitlines()[2:]]
        self.assertEqual(events[:2], ['crash.noted', 'hold.begun'])
        self.assertEqual(out.count('hold.'), 1)

    def test_regression_event_about_all_holds_ended_the_command(self):
        # KeyError: such an event has no digest.
        lines = [
            make_line(1.0, 'hold.not_evicted', reason='long before'),
            make_line(58.9, 'hold.trial_not_claimed', reason='r'),
            *HELD_LINES,
        ]
        self.log.write_text('\n'.join(lines))
        code, out, _ = self.run_command('r1', str(self.log))
        self.assertEqual(code, 0)
        self.assertIn('hold.trial_not_claimed', out)
        self.assertNotIn('hold.not_evicted', out)

    def test_request_sent_to_another_upstream_is_explained_by_a_limit(self):
        self.log.write_text('\n'.join(LIMIT_LINES))
        code, out, _ = self.run_command('r1', str(self.log))
        self.assertEqual(code, 0)
        self.assertIn('limit.learnt', out)
        self.assertIn('rate_per_s=0.4', out)
        self.assertNotIn('rate_per_s=7', out)
        self.assertNotIn('limit.ended', out)
