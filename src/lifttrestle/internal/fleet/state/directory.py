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

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import re

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.catalogue import Catalogue
from lifttrestle.internal.fleet.state.decoding import StoredFormat
from lifttrestle.internal.fleet.state.rows import RowOrigin
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.state.upstream_entry import compare_starts
from lifttrestle.internal.fleet.state.upstream_entry import StartEnd
from lifttrestle.internal.fleet.state.upstream_entry import StartOrder
from lifttrestle.internal.fleet.state.upstream_entry import UpstreamEntry
from lifttrestle.internal.http.address import check_address
from lifttrestle.internal.http.client_pool import ClientPool
from lifttrestle.internal.intake.refusals import InputRefusals
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
# A name goes into a header: other characters would end or spoil it.
INSTANCE = re.compile(r'[!-~]{1,200}')


class UpstreamDirectory:
    """Holds the newest start of each upstream; old ones are forgotten.

    :ivar changes: grows with each row and each start that is taken in.
    :ivar get_catalogue: returns the configuration in force; an upstream of
        a service that it does not name is not used.
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
        self.changes = 0
        self.get_catalogue: Callable[[], Catalogue | None] = lambda: None
        # Set from outside: when the list was last read after an outage.
        self.outage_until = float('-inf')
        # Set from outside: is told how a start of an upstream ended.
        self.tell_ended: Callable[[FleetUpstream, StartEnd], None] = (
            _tell_nobody
        )

    def __iter__(self) -> Iterator[FleetUpstream]:
        """Iterate over the upstreams that may be used."""
        catalogue = self.get_catalogue()
        return iter(
            [
                upstream
                for upstream in self._known.values()
                if catalogue is None or catalogue.includes(upstream.entry)
            ]
        )

    def get(self, instance: str) -> FleetUpstream | None:
        """Return an upstream by its name."""
        return self._known.get(instance)

    def get_start(self, start: str) -> FleetUpstream | None:
        """Return an upstream if this start of it is the newest known."""
        return self._starts.get(start)

    def get_by_digest(self, digest: int) -> FleetUpstream | None:
        """Return the newest known start that a message's digest stands for."""
        return self._digests.get(digest)

    def take(self, row: VersionedRow) -> None:
        """Take in a changed row of the list."""
        self.changes += 1
        if row.value is None:
            self._note_removed(row.key)
            return
        try:
            entry = self._format.decode_upstream(row.key, row.value)
            _check_names(entry)
        except ValueError as error:
            self._refusals.note('upstreams', row.key, error)
            self._drop(row.key)
            return
        known = self._known.get(row.key)
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
        """Take in that a start of an upstream has answered.

        :param born: Unix milliseconds of that start, None if not told.
        :param weights: that it holds.
        :return: whether it is the start that ``upstream`` stands for.
        """
        if self._starts.get(upstream.start) is not upstream:
            return False
        order = compare_starts(upstream.entry.born, born)
        if order is StartOrder.NEWER:
            entry = dataclasses.replace(
                upstream.entry, born=born, weights=dict(weights)
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
        if order is StartOrder.NEWER or entry.address != known.entry.address:
            self._replace(known, entry)
            return
        if entry.draining and not known.entry.draining:
            LOG.info('upstream.draining', instance=entry.instance)
        known.entry = dataclasses.replace(entry, born=known.entry.born)
        known.vanished_at = None
        now = self._clock.monotonic()
        for model, version in entry.weights.items():
            if origin is RowOrigin.WRITTEN:
                known.note_listed_weights(model, version, now)
            else:
                # The entry may predate weights that were already seen.
                known.note_weights(model, version, now)

    def _replace(self, known: FleetUpstream, entry: UpstreamEntry) -> None:
        """Forget what was learned of a start; another one has its name."""
        LOG.info(
            'upstream.started_again',
            instance=entry.instance,
            born=entry.born,
            before=known.entry.born,
        )
        self._forget(known, StartEnd.REPLACED)
        self._add(entry)

    def _add(self, entry: UpstreamEntry) -> None:
        self.changes += 1
        address = check_address(entry.address)
        pool = ClientPool(address, self._clock, CONNECT_SECONDS)
        upstream = FleetUpstream(
            entry,
            pool,
            weights=dict(entry.weights),
            weights_noted_at=self._clock.monotonic(),
        )
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
        )

    def _drop(self, instance: str) -> None:
        """Use an upstream no more whose entry does not name one now."""
        known = self._known.get(instance)
        if known is not None:
            self._forget(known, StartEnd.WITHDRAWN)

    def list_fit(self, service: str) -> list[FleetUpstream]:
        """Return the upstreams of a service that may get new work."""
        self._forget_lapsed()
        return [
            upstream
            for upstream in self
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
            self._forget(known, _find_end(known))

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
            self._forget(upstream, _find_end(upstream))

    def _forget(self, upstream: FleetUpstream, end: StartEnd) -> None:
        self.changes += 1
        self._known.pop(upstream.instance, None)
        self._starts.pop(upstream.start, None)
        self._digests.pop(upstream.digest, None)
        upstream.pool.close()
        LOG.info(
            'upstream.gone', instance=upstream.instance, end=end.name.lower()
        )
        self.tell_ended(upstream, end)


def _find_end(upstream: FleetUpstream) -> StartEnd:
    """Return how an upstream whose entry was removed has ended."""
    if upstream.entry.draining:
        return StartEnd.WITHDRAWN
    return StartEnd.VANISHED


def _tell_nobody(upstream: FleetUpstream, end: StartEnd) -> None:
    """Tell nobody."""


def _check_names(entry: UpstreamEntry) -> None:
    """Check what is used as a header or an address.

    :raises ValueError: if it can't be used as such.
    """
    check_address(entry.address)
    if INSTANCE.fullmatch(entry.instance) is None:
        raise ValueError(
            f'{entry.instance!r} is no name; write 1 to 200 printable ASCII'
            ' characters without blanks'
        )
