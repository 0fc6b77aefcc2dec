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

"""The upstreams of the fleet, read from their entries in the shared list."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.catalogue import Catalogue
from lifttrestle.internal.fleet.state.decoding import StoredFormat
from lifttrestle.internal.fleet.state.departures import Departures
from lifttrestle.internal.fleet.state.rejection_pacing import StartPacings
from lifttrestle.internal.fleet.state.rows import RowOrigin
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.state.upstream_ends import classify_end
from lifttrestle.internal.fleet.state.upstream_ends import is_draining_since
from lifttrestle.internal.fleet.state.upstream_entry import check_names
from lifttrestle.internal.fleet.state.upstream_entry import compare_starts
from lifttrestle.internal.fleet.state.upstream_entry import has_other_software
from lifttrestle.internal.fleet.state.upstream_entry import StartEnd
from lifttrestle.internal.fleet.state.upstream_entry import StartOrder
from lifttrestle.internal.fleet.state.upstream_entry import update_entry
from lifttrestle.internal.fleet.state.upstream_entry import UpstreamEntry
from lifttrestle.internal.http.address import parse_address
from lifttrestle.internal.http.client_pool import ClientPool
from lifttrestle.internal.http.connection_opener import ConnectionOpener
from lifttrestle.internal.intake.refusals import InputRefusals
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('upstreams')
# A connection opens in a few ms within the fleet, and within 50 ms between
# regions. A lost SYN is retransmitted after a second, so a timeout between
# 0.1 s and a second gains nothing. With this one, a request to an upstream
# behind a network partition is still answered in time by another upstream
# (0.15 to 0.6 s).
CONNECT_SECONDS = 0.1
# Entries of live upstreams expire during an outage of the store and return
# within two seconds of its end. An upstream whose entry has expired stays in
# use for slightly less than that.
OUTAGE_GRACE_SECONDS = 1.8


class UpstreamDirectory:
    """Holds the newest start of each upstream; older ones are dropped.

    :ivar departures: which starts have announced that they leave.
    :ivar changes: counts the applied rows and the added or removed starts.
    :ivar make_opener: returns how connections to an upstream are opened, from
        how direct ones are; set by the owner, like all below.
    :ivar get_catalogue: returns the current configuration; upstreams of
        services that it does not contain are not used.
    :ivar outage_until: when an outage of the store ended, monotonic seconds.
    :ivar get_list_time: returns the monotonic time as of which the list was
        last known to be current.
    :ivar on_ended: called when a start of an upstream has ended.
    """

    def __init__(
        self,
        stored_format: StoredFormat,
        clock: Clock,
        refusals: InputRefusals | None = None,
    ) -> None:
        self._format = stored_format
        self._clock = clock
        self._refusals = refusals or InputRefusals()
        self._known: dict[str, FleetUpstream] = {}
        self._starts: dict[str, FleetUpstream] = {}
        self._digests: dict[int, FleetUpstream] = {}
        self.departures = Departures(clock)
        self._pacings = StartPacings()
        self.changes = 0
        self.make_opener: Callable[
            [FleetUpstream, ConnectionOpener], ConnectionOpener
        ] = lambda upstream, direct: direct
        self.get_catalogue: Callable[[], Catalogue | None] = lambda: None
        self.outage_until = float('-inf')
        self.get_list_time: Callable[[], float] = clock.monotonic
        self.on_ended: Callable[[FleetUpstream, StartEnd], None] = (
            lambda upstream, end: None
        )

    def __iter__(self) -> Iterator[FleetUpstream]:
        """Iterate over the upstreams of configured services."""
        catalogue = self.get_catalogue()
        return iter(
            [
                upstream
                for upstream in self._known.values()
                if catalogue is None or catalogue.includes(upstream.entry)
            ]
        )

    def get(self, instance: str) -> FleetUpstream | None:
        """Return an upstream by its name, None if it is not known."""
        return self._known.get(instance)

    def get_start(self, start: str) -> FleetUpstream | None:
        """Return an upstream if ``start`` is its newest known start."""
        return self._starts.get(start)

    def get_by_digest(self, digest: int) -> FleetUpstream | None:
        """Return the upstream whose newest start has this digest."""
        return self._digests.get(digest)

    def apply_row(self, row: VersionedRow) -> None:
        """Apply a changed row of the list."""
        self.changes += 1
        if row.value is None:
            self._handle_removal(row.key)
            return
        known = self._known.get(row.key)
        try:
            entry = self._format.decode_upstream(row.key, row.value)
            check_names(entry)
        except ValueError as error:
            self._refusals.report('upstreams', row.key, error)
            if known is not None:
                self._remove(known, StartEnd.WITHDRAWN)
            return
        if known is None:
            self._add(entry)
            return
        self._update(known, entry, row.origin)

    def note_start(
        self,
        upstream: FleetUpstream,
        born: int | None,
        weights: dict[str, int],
    ) -> bool:
        """Apply the start time that an upstream reported in an answer.

        :param born: start time in Unix milliseconds, None if not reported.
        :param weights: versions that it holds, by model.
        :return: whether ``upstream`` is that start.
        """
        if self._starts.get(upstream.start) is not upstream:
            return False
        order = compare_starts(upstream.entry.born, born)
        if order is StartOrder.NEWER:
            entry = dataclasses.replace(
                upstream.entry,
                born=born,
                weights=dict(weights),
                # It may have changed with the start.
                software_version=None,
            )
            self._replace(upstream, entry)
        return order is StartOrder.SAME

    def _update(
        self, known: FleetUpstream, entry: UpstreamEntry, origin: RowOrigin
    ) -> None:
        order = compare_starts(known.entry.born, entry.born)
        if order is StartOrder.OLDER:
            LOG.info(
                'upstream.older_start',
                instance=entry.instance,
                born=entry.born,
            )
            return
        moved = entry.address != known.entry.address
        if (
            order is StartOrder.NEWER
            or moved
            or has_other_software(known.entry, entry)
        ):
            self._replace(known, entry)
            return
        if entry.draining and not known.entry.draining:
            LOG.info('upstream.draining', instance=entry.instance)
            if origin is RowOrigin.WRITTEN:
                known.drains_since = self.get_list_time()
        known.entry = update_entry(known.entry, entry)
        known.vanished_at = None
        now = self._clock.monotonic()
        for model, version in entry.weights.items():
            if origin is RowOrigin.WRITTEN:
                known.note_listed_weights(model, version, now)
            else:
                # The entry may be older than the weights already recorded.
                known.note_weights(model, version, now)

    def _replace(self, known: FleetUpstream, entry: UpstreamEntry) -> None:
        """Replace a start and its state by the one that has its name now."""
        LOG.info(
            'upstream.started_again',
            instance=entry.instance,
            born=entry.born,
            before=known.entry.born,
        )
        self._remove(known, StartEnd.REPLACED)
        self._add(entry)

    def _add(self, entry: UpstreamEntry) -> None:
        self.changes += 1
        address = parse_address(entry.address)
        pool = ClientPool(address, self._clock, CONNECT_SECONDS)
        upstream = FleetUpstream(
            entry,
            pool,
            weights=dict(entry.weights),
            weights_noted_at=self._clock.monotonic(),
            departure=self.departures.get(entry.start),
            rejections=self._pacings.get(entry.start),
        )
        pool.opener = self.make_opener(upstream, pool.opener)
        self._known[entry.instance] = upstream
        self._starts[entry.start] = upstream
        self._digests[upstream.digest] = upstream
        LOG.info(
            'upstream.new',
            instance=entry.instance,
            born=entry.born,
            service=entry.service,
            address=entry.address,
            weights=entry.weights,
            software_version=entry.software_version,
        )

    def list_available(self, service: str) -> list[FleetUpstream]:
        """Return the upstreams of a service that accept new work."""
        self._remove_expired()
        return [
            upstream
            for upstream in self
            if upstream.entry.service == service
            and not upstream.draining
            and not upstream.misdirected
        ]

    def list_draining(
        self, service: str, drain_seconds: float
    ) -> list[FleetUpstream]:
        """Return the draining upstreams that still accept requests.

        :param drain_seconds: for how long they do, from their report on.
        """
        earliest = self._clock.monotonic() - drain_seconds
        return [
            upstream
            for upstream in self
            if upstream.entry.service == service
            and is_draining_since(upstream, earliest)
        ]

    def close(self) -> None:
        """Close all idle connections."""
        for upstream in self._known.values():
            upstream.pool.close()

    def _handle_removal(self, instance: str) -> None:
        known = self._known.get(instance)
        if known is None:
            return
        known.vanished_at = self._clock.monotonic()
        LOG.info('upstream.entry_removed', instance=instance)
        if not self._may_return(known):
            self._remove(known, classify_end(known))

    def _may_return(self, upstream: FleetUpstream) -> bool:
        if upstream.draining:
            return False
        return (
            self._clock.monotonic() < self.outage_until + OUTAGE_GRACE_SECONDS
        )

    def _remove_expired(self) -> None:
        expired = [
            upstream
            for upstream in self._known.values()
            if upstream.vanished_at is not None
            and not self._may_return(upstream)
        ]
        for upstream in expired:
            self._remove(upstream, classify_end(upstream))

    def _remove(self, upstream: FleetUpstream, end: StartEnd) -> None:
        self.changes += 1
        self._known.pop(upstream.instance, None)
        self._starts.pop(upstream.start, None)
        self._digests.pop(upstream.digest, None)
        self.departures.note_ended(upstream.start)
        upstream.pool.close()
        name = end.name.lower()
        LOG.info('upstream.gone', instance=upstream.instance, end=name)
        self.on_ended(upstream, end)
