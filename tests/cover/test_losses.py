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

"""Tests of the command ``losses``: lost and late requests in logs."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from lifttrestle.internal.cli.main import main


def make_step(request, second, name, **fields):
    at = f'2026-12-02T10:00:{second:06.3f}Z'
    return json.dumps(
        {
            'at': at,
            'vm': 'vm-1',
            'event': f'request.{name}',
            'request': request,
            **fields,
        }
    )


def make_request_log(request, second, *steps, outcome='complete', **ended):
    """Return the log lines of a request that arrives at ``second``."""
    admitted = {'target_ms': 400, 'pause_target_ms': 300}
    events = (('admitted', admitted), *steps)
    events += (('ended', {'outcome': outcome, 'service': 's', **ended}),)
    return [
        make_step(request, second, name, after_ms=0, **fields)
        for name, fields in events
    ]


SENT = ('sent', {'instance': 'e1'})
REQUESTS = {
    'in time': make_request_log('a', 1.0, SENT, begun_ms=90, first_ms=80),
    'late: the upstream was slower than expected': make_request_log(
        'b', 1.1, SENT, begun_ms=700, first_ms=650, expected_ms=90
    ),
    'late: the upstream was expected to be late': make_request_log(
        'c', 1.2, SENT, begun_ms=700, first_ms=650, expected_ms=600
    ),
    'late: it waited for an upstream': make_request_log(
        'd', 1.3, ('held', {}), SENT, begun_ms=700, first_ms=80, expected_ms=90
    ),
    'late: an attempt ended with UpstreamLost': make_request_log(
        'e',
        1.4,
        SENT,
        ('attempt_failed', {'kind': 'UpstreamLost'}),
        SENT,
        begun_ms=700,
        first_ms=80,
        expected_ms=90,
    ),
    'late: its stream paused': make_request_log(
        'p', 1.5, SENT, begun_ms=90, first_ms=80, longest_pause_ms=500
    ),
    'refused: overloaded': make_request_log(
        'f',
        3.0,
        ('refused', {'kind': 'overloaded', 'ran': 'not run'}),
        outcome='overloaded',
    ),
    'failed: the upstream did not answer': make_request_log(
        'g',
        3.1,
        SENT,
        ('out_of_time', {}),
        ('refused', {'kind': 'deadline_exceeded', 'ran': 'unknown'}),
        outcome='deadline_exceeded',
    ),
    'failed: its router stopped': make_request_log(
        'i', 3.3, SENT, outcome='cut', begun_ms=90, first_ms=80
    ),
    'left: the upstream did not answer': make_request_log(
        'h', 3.2, SENT, outcome='caller gone: closed'
    ),
}


class TestLosses(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.log = self.folder / 'vm-1.log'
        lines = [line for request in REQUESTS.values() for line in request]
        self.log.write_text('\n'.join((*lines, '{"at": torn', 'other')))

    def run_command(self, *arguments):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = main(['losses', *arguments, str(self.log)])
        return code, out.getvalue(), err.getvalue()

    def test_each_cause_is_reported(self):
        code, out, _ = self.run_command('--json')
        content = json.loads(out)
        self.assertEqual(code, 0)
        expected = {cause: 1 for cause in REQUESTS if cause != 'in time'}
        self.assertEqual(content['causes'], expected)
        self.assertEqual(content['broken_lines'], 1)

    def test_windows_count_by_arrival(self):
        _, out, _ = self.run_command('--json', '--window', '2')
        counts = [window['counts'] for window in json.loads(out)['windows']]
        names = ('in time', 'late', 'refused', 'failed', 'left')
        zeros = dict.fromkeys(names, 0)
        self.assertEqual(
            counts,
            [
                {**zeros, 'in time': 1, 'late': 5},
                {**zeros, 'refused': 1, 'failed': 2, 'left': 1},
            ],
        )

    def test_table_names_the_most_frequent_causes(self):
        _, out, _ = self.run_command()
        self.assertIn('refused: overloaded 1', out)
        self.assertIn('1 broken lines were skipped', out)

    def test_picture_is_written_as_png(self):
        target = self.folder / 'losses.png'
        code, _, _ = self.run_command('--picture', str(target))
        self.assertEqual(code, 0)
        self.assertTrue(target.read_bytes().startswith(b'\x89PNG'))

    def test_logs_without_requests_are_reported(self):
        self.log.write_text('other')
        code, _, err = self.run_command()
        self.assertEqual(code, 1)
        self.assertIn('give the logs of fleet routers', err)

    def test_unreadable_log_and_invalid_window_are_reported(self):
        self.log.unlink()
        code, _, err = self.run_command()
        self.assertEqual(code, 2)
        self.assertIn('give files that can be read', err)
        with self.assertRaises(SystemExit):
            self.run_command('--window', '0')
