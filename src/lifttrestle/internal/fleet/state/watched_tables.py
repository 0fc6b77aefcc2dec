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

"""The shared tables that a router follows."""

import dataclasses
import random

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.decoding import StoredFormat
from lifttrestle.internal.fleet.state.roster import FLEET_TABLE
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.table_copy import RowListener
from lifttrestle.internal.fleet.state.table_watch import TableWatch

# How long the store holds a read of each table without news. The operator's
# table proves that keys are current, so its reads are short; few routers send
# them for all.
OPERATOR_WAIT_SECONDS = 0.7
UPSTREAMS_WAIT_SECONDS = 1.5
ROUTERS_WAIT_SECONDS = 3.0
# Entries change in bursts while weights are loaded. A leaving upstream may
# get work for two seconds more, so a tenth of that is no loss.
UPSTREAMS_REST_SECONDS = 0.2
# Routers' rows come one after the other while a fleet starts, and each read
# ended with one of them. It is a small part of the 3,400 to 3,800 calls that
# 195 routers made at a start. A plan of loads, in the same table, waits for
# this at most.
ROUTERS_REST_SECONDS = 0.1


@dataclasses.dataclass(frozen=True)
class RowListeners:
    """What is told of each row that is new, changed or removed."""

    operator: RowListener
    upstreams: RowListener
    routers: RowListener


class WatchedTables:
    """The watches of a router's tables.

    :ivar operator: what the operator put in force.
    :ivar upstreams: the upstreams' own entries.
    :ivar routers: the routers' rows, plans of loads and held requests.
    """

    def __init__(
        self,
        store: RowStore,
        stored_format: StoredFormat,
        clock: Clock,
        source: random.Random,
        listeners: RowListeners,
    ) -> None:
        self.operator = TableWatch(
            store,
            stored_format.operator_table,
            clock,
            source,
            OPERATOR_WAIT_SECONDS,
            listeners.operator,
        )
        self.upstreams = TableWatch(
            store,
            stored_format.upstreams_table,
            clock,
            source,
            UPSTREAMS_WAIT_SECONDS,
            listeners.upstreams,
            UPSTREAMS_REST_SECONDS,
        )
        self.routers = TableWatch(
            store,
            FLEET_TABLE,
            clock,
            source,
            ROUTERS_WAIT_SECONDS,
            listeners.routers,
            ROUTERS_REST_SECONDS,
            # It names the routers that can be asked for the others.
            eager=True,
        )
        self.upstreams.restart_with(self.operator)
        self.routers.restart_with(self.operator)

    def list_all(self) -> list[TableWatch]:
        """Return every watch."""
        return [self.operator, self.upstreams, self.routers]

    def is_upstreams_current(self) -> bool:
        """Return whether an entry that has ended would be known to have."""
        return self.upstreams.get_age() < 2 * UPSTREAMS_WAIT_SECONDS
