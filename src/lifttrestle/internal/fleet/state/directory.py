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

"""All upstreams of the fleet, from their entries in the shared list."""

from collections.abc import Iterator

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.decoding import StoredFormat
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.http.address import check_address
from lifttrestle.internal.http.client_pool import ClientPool
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('upstreams')
# A connection within the fleet opens in a few ms, within 50 between regions. A
# lost opening packet is sent again after a second, so that between 0.1 and a
# second there is nothing to wait for; a request that meets an upstream behind
# a cut then still is in time at another one (0.15 to 0.6 s).
CONNECT_SECONDS = 0.1
# While the store was away, entries lapse of upstreams that live. Those are
# back within two seconds; such an upstream is used on for a little less.
RETURN_SECONDS = 1.8


class UpstreamDirectory:
    """Holds the upstreams by instance; old starts are forgotten."""

    def __init__(self, stored_format: StoredFormat, clock: Clock) -> None:
        self._format = stored_format
        self._clock = clock
        self._known: dict[str, FleetUpstream] = {}
        # Set from outside: when the list was last read after an outage.
        self.outage_until = float('-inf')

    def __iter__(self) -> Iterator[FleetUpstream]:
        """Iterate over the upstreams that may be used."""
        return iter(self._known.values())

    def get(self, instance: str) -> FleetUpstream | None:
        """Return an upstream by its instance."""
        return self._known.get(instance)

    def take(self, row: VersionedRow) -> None:
        """Take in a changed row of the list."""
        if row.value is None:
            self._note_removed(row.key)
            return
        try:
            entry = self._format.read_upstream(row.key, row.value)
            address = check_address(entry.address)
        except ValueError as error:
            LOG.error(
                'upstream.unreadable', instance=row.key, reason=str(error)
            )
            return
        known = self._known.get(row.key)
        if known is None:
            pool = ClientPool(address, self._clock, CONNECT_SECONDS)
            known = FleetUpstream(entry, pool)
            self._known[row.key] = known
            LOG.info(
                'upstream.new',
                instance=entry.instance,
                service=entry.service,
                address=entry.address,
                weights=entry.weights,
            )
        elif entry.draining and not known.entry.draining:
            LOG.info('upstream.draining', instance=entry.instance)
        known.entry = entry
        known.vanished_at = None
        for model, version in entry.weights.items():
            known.note_weights(model, version)

    def list_fit(self, service: str) -> list[FleetUpstream]:
        """Return the upstreams of a service that may get new work."""
        self._forget_lapsed()
        return [
            upstream
            for upstream in self._known.values()
            if upstream.entry.service == service
            and not upstream.entry.draining
            and not upstream.misdirected
        ]

    def close(self) -> None:
        """Close every kept connection."""
        for upstream in self._known.values():
            upstream.pool.close()

    def _note_removed(self, instance: str) -> None:
        known = self._known.get(instance)
        if known is None:
            return
        known.vanished_at = self._clock.monotonic()
        LOG.info('upstream.entry_removed', instance=instance)
        if not self._may_return(known):
            self._forget(known)

    def _may_return(self, upstream: FleetUpstream) -> bool:
        if upstream.entry.draining:
            return False
        return self._clock.monotonic() < self.outage_until + RETURN_SECONDS

    def _forget_lapsed(self) -> None:
        lapsed = [
            upstream
            for upstream in self._known.values()
            if upstream.vanished_at is not None
            and not self._may_return(upstream)
        ]
        for upstream in lapsed:
            self._forget(upstream)

    def _forget(self, upstream: FleetUpstream) -> None:
        self._known.pop(upstream.instance, None)
        upstream.pool.close()
        LOG.info('upstream.gone', instance=upstream.instance)
