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

"""What a router knows from the shared tables, and from its own requests."""

from collections.abc import Callable
import random

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.crashes.tracker import CrashTracker
from lifttrestle.internal.fleet.limits.upstream_limits import UpstreamLimits
from lifttrestle.internal.fleet.policy.weights_filter import OLD_WEIGHTS_SHARE
from lifttrestle.internal.fleet.settings import FleetSettings
from lifttrestle.internal.fleet.state.catalogue import Catalogue
from lifttrestle.internal.fleet.state.decoding import StoredFormat
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.operator_view import OperatorView
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.rows import RowOrigin
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.state.upstream_entry import StartEnd
from lifttrestle.internal.fleet.state.weights_view import WeightsView
from lifttrestle.internal.fleet.streams.origins import StreamOrigins
from lifttrestle.internal.fleet.table_watches import TableWatches
from lifttrestle.internal.intake.refusals import InputRefusals


def _ignore(catalogue: Catalogue) -> None:
    """Do nothing; the default callback."""


class SharedState:
    """The views of the shared tables, updated row by row.

    :ivar on_catalogue: called with each new configuration.
    """

    def __init__(
        self,
        settings: FleetSettings,
        store: RowStore,
        stored_format: StoredFormat,
        clock: Clock,
        source: random.Random,
        refusals: InputRefusals,
    ) -> None:
        self._clock = clock
        self.on_catalogue: Callable[[Catalogue], None] = _ignore
        self.view = OperatorView(
            stored_format,
            clock,
            settings.promises.weights_seconds * OLD_WEIGHTS_SHARE,
            refusals,
        )
        self.directory = UpstreamDirectory(stored_format, clock, refusals)
        self.weights_view = WeightsView(self.directory, clock, refusals)
        self.roster = Roster(
            store, clock, settings.vm, settings.data_centre, refusals
        )
        self.watches = TableWatches(
            settings,
            store,
            stored_format,
            clock,
            source,
            self._apply_operator_row,
            self._apply_upstream_row,
            self._apply_routers_row,
        )
        self.crashes = CrashTracker(
            settings.vm,
            store,
            self.directory,
            self.roster,
            clock,
            settings.heartbeat_seconds,
            refusals,
        )
        self.limits = UpstreamLimits(
            settings.vm,
            self.directory,
            self.roster,
            clock,
            refusals,
            lambda: self.watches.upstreams.copy.loaded,
        )
        self.streams = StreamOrigins(
            settings.vm, store, self.directory, self.roster, clock, refusals
        )
        self._connect()

    def _connect(self) -> None:
        """Let the views ask each other and the watches."""
        watches = self.watches
        self.directory.get_catalogue = lambda: self.view.catalogue
        self.directory.get_list_time = lambda: watches.upstreams.current_as_of
        self.directory.on_ended = self._note_ended
        self.roster.get_current_as_of = lambda: watches.routers.current_as_of
        self.streams.get_catalogue = lambda: self.view.catalogue
        self.streams.refresh_tables = watches.refresh_upstreams_and_routers
        self.streams.is_loaded = watches.are_loaded
        losses = self.crashes.losses
        losses.get_list_settled_seconds = watches.get_list_settled_seconds

    def _apply_operator_row(self, row: VersionedRow) -> None:
        before = self.view.catalogue
        self.view.apply_row(row)
        after = self.view.catalogue
        if after is not None and after is not before:
            self.on_catalogue(after)

    def _apply_upstream_row(self, row: VersionedRow) -> None:
        watch = self.watches.upstreams
        if watch.lost or row.origin is not RowOrigin.WRITTEN:
            # The first rows after an outage or a restore: entries that have
            # lapsed or are lost may still return.
            self.directory.outage_until = self._clock.monotonic()
        self.directory.apply_row(row)
        upstream = self.directory.get(row.key)
        if upstream is not None:
            self.crashes.losses.note_listed(upstream)

    def _apply_routers_row(self, row: VersionedRow) -> None:
        self.roster.loaded = True
        self.roster.apply_row(row)
        self.weights_view.apply_row(row)
        self.crashes.apply_row(row)
        self.streams.apply_row(row)

    def _note_ended(self, upstream: FleetUpstream, end: StartEnd) -> None:
        self.crashes.losses.note_ended(upstream, end)
        self.limits.forget(upstream)
        self.streams.note_ended(upstream)
