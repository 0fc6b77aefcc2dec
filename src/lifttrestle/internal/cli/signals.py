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

"""Signal handling before the event loop starts and after it has stopped.

A signal without a handler has its default action, which ends the process, so
that its exit code is lost.
"""

import asyncio
import signal

# Signals that a router handles while it serves.
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def ignore_hangup() -> None:
    """Ignore SIGHUP until the event loop handles it.

    No change of the settings is missed: a router that reloads its settings
    also reads the file every few seconds, and other routers read it only at
    the start.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def ignore_signals() -> None:
    """Ignore signals in a process that is about to exit.

    The event loop removes its handlers when it closes, and the interpreter
    takes another 0.1 s or so to exit. A signal in between would end a process
    that has served every request, and its exit code would be lost. Signals are
    blocked between the removal of the loop's handler and the installation of
    the new one.
    """
    loop = asyncio.get_running_loop()
    previous_mask = signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    for number in HANDLED_SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_SETMASK, previous_mask)
