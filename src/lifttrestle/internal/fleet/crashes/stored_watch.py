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

"""Takes back stored crashes of starts that turn out to be listed still.

The router that noted a crash watches the start for some seconds more, in
memory. If that router ends meanwhile, others do it for what it has stored.
"""

from collections.abc import Callable

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.unix_time import get_unix_ms
from lifttrestle.internal.clock.unix_time import MILLISECONDS
from lifttrestle.internal.fleet.crashes.crash_row import StoredRecord

# The router that noted a crash decides before the others.
MARGIN_SECONDS = 2.0
# Older ones were decided before, also if the clocks of two routers differ.
RECENT_SECONDS = 60.0
# Maximum number of watched crashes, of which an upstream leaves some twenty.
MAX_WATCHED = 4096


class StoredCrashWatch:
    """Crashes in rows that may still be refuted.

    :param entry_seconds: a start that is listed for so long after a crash was
        noted has not crashed.
    """

    def __init__(self, clock: Clock, entry_seconds: float) -> None:
        self._clock = clock
        self._watch_seconds = entry_seconds + MARGIN_SECONDS
        # When each is decided, monotonic seconds by the digests of the request
        # and of the start.
        self._due: dict[tuple[int, int], float] = {}

    def note(self, record: StoredRecord) -> None:
        """Watch the crashes of a stored record that are recent.

        They are watched for the whole time from now on, as the clocks of two
        routers may differ.
        """
        due_at = self._clock.monotonic() + self._watch_seconds
        now_ms = get_unix_ms(self._clock)
        for start, at_ms in record.crashed:
            age = (now_ms - at_ms) / MILLISECONDS
            if age < RECENT_SECONDS and len(self._due) < MAX_WATCHED:
                self._due.setdefault((record.digest, start), due_at)

    def take_refuted(
        self, is_listed: Callable[[int], bool]
    ) -> list[tuple[int, int]]:
        """Return the digests of requests and starts that did not crash.

        To be called while the list of upstreams is current.

        :param is_listed: returns whether the start with a digest is listed.
        """
        now = self._clock.monotonic()
        due = [key for key, due_at in self._due.items() if due_at <= now]
        for key in due:
            del self._due[key]
        return [key for key in due if is_listed(key[1])]
