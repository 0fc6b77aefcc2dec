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

"""Whether the reads of a shared table are answered in time."""

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.row_version import format_version
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('watch')


class StoreContact:
    """Logs when contact to the store is lost and regained.

    :ivar lost: whether the last read failed or is late.
    :ivar disturbed_at: when this was created or the last outage or restore of
        the store ended, monotonic seconds.
    """

    def __init__(self, table: str, clock: Clock) -> None:
        self._table = table
        self._clock = clock
        self.lost = False
        self.disturbed_at = clock.monotonic()

    def note_disturbed(self) -> None:
        """Record that an outage or a restore of the store has ended."""
        self.disturbed_at = self._clock.monotonic()

    def note_lost(self, age: float, reason: str) -> None:
        """Record a read that failed or is late.

        :param age: seconds since the copy was last known to be current.
        """
        if not self.lost:
            LOG.warning(
                'watch.lost',
                table=self._table,
                age_s=round(age, 3),
                reason=reason,
            )
        self.lost = True

    def note_regained(self, version: int) -> bool:
        """Record an answer in time; return whether that ends an outage."""
        if not self.lost:
            return False
        LOG.info(
            'watch.regained',
            table=self._table,
            version=format_version(version),
        )
        self.lost = False
        self.note_disturbed()
        return True
