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

"""Starts and stops ``lifttrestle`` processes for tests."""

import os
import pathlib
import queue
import signal
import subprocess
import sys
import threading

START_SECONDS = 20.0
STOP_SECONDS = 20.0
READY = 'ready'


class ManagedProcess:
    """Runs ``lifttrestle`` with arguments and reads its output.

    :param arguments: arguments after the name of the program.
    :param program: command that starts the program; by default it is run from
        the source tree.
    :param own_group: whether to start it in a process group of its own. If a
        process group becomes orphaned while one of its processes is stopped,
        the system sends SIGHUP to all of them.
    """

    def __init__(
        self,
        arguments: list[str],
        program: list[str] | None = None,
        own_group: bool = False,
    ) -> None:
        command = [*(program or [sys.executable, '-m', 'lifttrestle'])]
        self.lines: list[str] = []
        self._ready: queue.Queue[str] = queue.Queue()
        self.process = subprocess.Popen(
            [*command, *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            text=True,
            process_group=0 if own_group else None,
            env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        )
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    def wait_ready(self) -> str:
        """Return the output line that reports readiness.

        :raises AssertionError: if the process ends or START_SECONDS pass
            before that.
        """
        try:
            line = self._ready.get(timeout=START_SECONDS)
        except queue.Empty:
            line = ''
        if not line:
            text = '\n'.join(self.lines)
            raise AssertionError(f'the process is not ready:\n{text}')
        return line

    def send_signal(self, number: int) -> None:
        """Send a signal to this process only."""
        self.process.send_signal(number)

    def stop(self) -> int:
        """Send SIGTERM, wait and return the exit code."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        return self.wait()

    def wait(self) -> int:
        """Wait for the process to end and return its exit code.

        :raises TimeoutExpired: after STOP_SECONDS; the process is killed.
        """
        try:
            code = self.process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            raise
        self._close()
        return code

    def kill(self) -> None:
        """Kill the process."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(STOP_SECONDS)
        self._close()

    def _read(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            self.lines.append(line.rstrip('\n'))
            if 'ready' in line and ('=' in line or line.startswith(READY)):
                self._ready.put(line.rstrip('\n'))
        self._ready.put('')

    def _close(self) -> None:
        self._reader.join(STOP_SECONDS)
        if self.process.stdout is not None:
            self.process.stdout.close()


def read_rss_kib(pid: int) -> int:
    """Return the resident set size of a process in KiB."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    for line in text.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1])
    raise AssertionError(f'/proc/{pid}/status has no VmRSS')
