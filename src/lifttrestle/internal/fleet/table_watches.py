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

"""The watches of the shared tables that a router reads."""

import asyncio
from collections.abc import Callable
import random

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.settings import FleetSettings
from lifttrestle.internal.fleet.state.decoding import StoredFormat
from lifttrestle.internal.fleet.state.restore_policy import OperatorPolicy
from lifttrestle.internal.fleet.state.restore_policy import UpstreamPolicy
from lifttrestle.internal.fleet.state.roster import FLEET_TABLE
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.table_watch import TableWatch
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('watch')
# How long the store delays the answer to a long poll of each table if nothing
# changes. Polls of the operator table also confirm that API keys are current,
# so they are short; a few routers send them on behalf of all.
OPERATOR_WAIT_SECONDS = 0.7
UPSTREAMS_WAIT_SECONDS = 1.5
ROUTERS_WAIT_SECONDS = 3.0
# Pause between a change and the next read: entries change in bursts while
# weights are loaded. A leaving upstream may get requests for two more seconds,
# so a delay of a tenth of that does no harm.
UPSTREAMS_PAUSE_SECONDS = 0.2
# While a fleet starts, the rows of its routers are written one after the
# other, and without a pause each read would return a single one. Plans of
# weight loads, in the same table, are delayed by this at most.
ROUTERS_PAUSE_SECONDS = 0.1
# An entry lapses after three missed heartbeats; a fourth allows for delays.
LAPSE_HEARTBEATS = 4
RowListener = Callable[[VersionedRow], None]


class TableWatches:
    """One watch for each shared table.

    :ivar operator: of what the operator has written.
    :ivar upstreams: of the list of upstreams.
    :ivar routers: of the routers' own table.
    """

    def __init__(
        self,
        settings: FleetSettings,
        store: RowStore,
        stored_format: StoredFormat,
        clock: Clock,
        source: random.Random,
        apply_operator_row: RowListener,
        apply_upstream_row: RowListener,
        apply_routers_row: RowListener,
    ) -> None:
        self._clock = clock
        self.operator = TableWatch(
            store,
            stored_format.operator_table,
            clock,
            source,
            OPERATOR_WAIT_SECONDS,
            apply_operator_row,
            eager=False,
            policy=OperatorPolicy(stored_format),
        )
        self.upstreams = TableWatch(
            store,
            stored_format.upstreams_table,
            clock,
            source,
            UPSTREAMS_WAIT_SECONDS,
            apply_upstream_row,
            UPSTREAMS_PAUSE_SECONDS,
            eager=False,
            policy=UpstreamPolicy(
                stored_format, LAPSE_HEARTBEATS * settings.heartbeat_seconds
            ),
        )
        self.routers = TableWatch(
            store,
            FLEET_TABLE,
            clock,
            source,
            ROUTERS_WAIT_SECONDS,
            apply_routers_row,
            ROUTERS_PAUSE_SECONDS,
            # It lists the routers that can serve reads of the other tables.
            eager=True,
        )
        self.upstreams.restart_with(self.operator)
        self.routers.restart_with(self.operator)

    def list_all(self) -> list[TableWatch]:
        """Return all watches."""
        return [self.operator, self.upstreams, self.routers]

    def are_loaded(self) -> bool:
        """Return whether each table has been read."""
        return all(watch.copy.loaded for watch in self.list_all())

    async def refresh_upstreams_and_routers(self) -> bool:
        """Bring two of the copies up to date; return whether that succeeded.

        Errors are logged.
        """
        try:
            await asyncio.gather(
                self.upstreams.refresh(), self.routers.refresh()
            )
        except PlatformUnavailable as error:
            LOG.info('tables.not_refreshed', reason=str(error))
            return False
        return True

    def is_upstream_list_current(self) -> bool:
        """Return whether the end of an entry would already be known."""
        return self.upstreams.get_age() < 2 * UPSTREAMS_WAIT_SECONDS

    def get_list_settled_seconds(self) -> float:
        """Return for how long the list of upstreams has been current.

        An outage or restore of the store ends that.
        """
        if not self.is_upstream_list_current():
            return 0.0
        return self._clock.monotonic() - self.upstreams.disturbed_at
