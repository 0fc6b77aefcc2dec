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

"""What began the streams that callers resume, as far as it can be known."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set
import dataclasses
import enum

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.policy.row_pacing import get_refresh_seconds
from lifttrestle.internal.fleet.state.catalogue import Catalogue
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.streams.exchange import OriginExchange
from lifttrestle.internal.fleet.streams.exchange import Send
from lifttrestle.internal.fleet.streams.exchange import Subscribe
from lifttrestle.internal.fleet.streams.ledger import build_stream_digest
from lifttrestle.internal.fleet.streams.ledger import OriginLedger
from lifttrestle.internal.fleet.streams.origin import NO_START
from lifttrestle.internal.fleet.streams.origin import StreamOrigin
from lifttrestle.internal.fleet.streams.origin_rows import OriginRows
from lifttrestle.internal.fleet.streams.recent_software import RecentSoftware
from lifttrestle.internal.fleet.streams.shared_call import SharedCall
from lifttrestle.internal.fleet.streams.software_rows import SoftwareRows
from lifttrestle.internal.fleet.streams.software_rows import UNKNOWN_VERSION
from lifttrestle.internal.intake.refusals import InputRefusals

POLL_SECONDS = 0.25
# Within the shortest time between two writes of origins.
ORIGIN_POLL_SECONDS = 0.1
# A stream may last for the timeout of its route, and its caller may come back
# as late as that again.
LIFE_TIMEOUTS = 2
MIN_LIFE_SECONDS = 30.0
MAX_LIFE_SECONDS = 600.0


class OriginSource(enum.Enum):
    """How the origin of a resumed stream was found; logged by name."""

    RECORD = enum.auto()
    # All upstreams that may have begun it have the same software.
    ONLY_VERSION = enum.auto()
    OWNER = enum.auto()
    STORE = enum.auto()
    UNKNOWN = enum.auto()


@dataclasses.dataclass(frozen=True)
class FoundOrigin:
    """The origin of a resumed stream, None if it is not known."""

    origin: StreamOrigin | None
    source: OriginSource


UNKNOWN = FoundOrigin(None, OriginSource.UNKNOWN)


class StreamOrigins:
    """Records what begins streams, and finds it when they are resumed.

    :ivar get_catalogue: returns the configuration in force.
    :ivar refresh_tables: brings the list of upstreams and the routers' table
        up to date with the store; returns False if it can't be read.
    :ivar is_loaded: returns whether the shared tables have been read.
    """

    def __init__(
        self,
        vm: str,
        store: RowStore,
        directory: UpstreamDirectory,
        roster: Roster,
        clock: Clock,
        refusals: InputRefusals | None = None,
    ) -> None:
        self._ledger = OriginLedger(clock, self.get_life_seconds)
        self._recent = RecentSoftware(directory, clock, self.get_life_seconds)
        self._rows = SoftwareRows(store, roster, clock, refusals)
        self._exchange = OriginExchange(vm, self._ledger, roster, clock)
        self._origin_rows = OriginRows(
            vm,
            store,
            roster,
            self._ledger,
            clock,
            self.get_life_seconds,
            refusals,
        )
        self.get_catalogue: Callable[[], Catalogue | None] = lambda: None
        self.refresh_tables: Callable[[], Awaitable[bool]] = _refresh_nothing
        self._refresh = SharedCall(
            clock,
            lambda: get_refresh_seconds(roster.live),
            lambda: self.refresh_tables(),
        )
        self.is_loaded: Callable[[], bool] = lambda: True

    def __len__(self) -> int:
        """Return the number of recorded streams."""
        return len(self._ledger)

    def connect(self, subscribe: Subscribe, send: Send) -> None:
        """Exchange messages with the other routers."""
        self._exchange.connect(subscribe, send)

    def apply_row(self, row: VersionedRow) -> None:
        """Apply a changed row of the routers' table."""
        self._rows.apply_row(row)

    def note_ended(self, upstream: FleetUpstream) -> None:
        """Record that an upstream is no longer listed."""
        self._recent.note_ended(upstream)

    def record(
        self, workspace: str, request_id: str, origin: StreamOrigin
    ) -> None:
        """Record what began a stream, before its first event is sent.

        :param request_id: of the request that brings the first event.
        """
        digest = build_stream_digest(workspace, request_id)
        self._exchange.record(digest, origin)
        if self._ledger.get(digest) is None:
            self._origin_rows.note_unknown(digest)
        else:
            self._origin_rows.note_begun(digest, origin)

    def note_complete(self, workspace: str, request_id: str) -> None:
        """Record that a stream was sent completely.

        :param request_id: of the request that brought the first event.
        """
        digest = build_stream_digest(workspace, request_id)
        self._origin_rows.note_complete(digest)

    async def find(
        self, workspace: str, resumes: str, services: Iterable[str]
    ) -> FoundOrigin:
        """Return what began a stream that a caller resumes.

        :param resumes: id of the request that brought its first event, as the
            caller states it; empty if it does not.
        :param services: those to which the route of the stream leads.
        """
        digest = build_stream_digest(workspace, resumes)
        if resumes and (origin := self._ledger.get(digest)) is not None:
            return FoundOrigin(origin, OriginSource.RECORD)
        if (
            resumes
            and (origin := await self._exchange.ask(digest)) is not None
        ):
            return FoundOrigin(origin, OriginSource.OWNER)
        only = await self._find_only(list(services))
        if only is not None:
            return FoundOrigin(only, OriginSource.ONLY_VERSION)
        if not resumes:
            return UNKNOWN
        await self._origin_rows.read_current(digest)
        origin = self._ledger.get(digest)
        if origin is not None:
            return FoundOrigin(origin, OriginSource.STORE)
        return UNKNOWN

    def count_versions(self, service: str) -> Mapping[str | None, int]:
        """Return the number of upstreams that serve now, by their version."""
        return self._recent.count_listed(service)

    def has_several_versions(self, service: str) -> bool:
        """Return whether upstreams of several versions serve now."""
        return len(self.count_versions(service)) > 1

    async def _find_only(self, services: list[str]) -> StreamOrigin | None:
        """Return the only origin that a stream can have, None without one.

        What this router has read before says nothing of a version that
        serves since, so the tables are read again.
        """
        if len(services) != 1:
            return None
        (service,) = services
        if self._has_no_only_version(service):
            return None
        if not await self._refresh.call():
            return None
        versions = self._list_versions(service)
        if not versions or self._has_no_only_version(service):
            return None
        if not self._rows.is_complete(service):
            return None
        return StreamOrigin(service, versions.pop(), NO_START)

    def _has_no_only_version(self, service: str) -> bool:
        """Return whether streams may have begun at several versions."""
        versions = self._list_versions(service)
        return len(versions) > 1 or None in versions

    def _list_versions(self, service: str) -> set[str | None]:
        """Return the versions that may have begun a stream of a service."""
        stored = self._rows.list_versions(service)
        return {
            *self._recent.list_recent(service),
            *(version or None for version in stored),
        }

    def list_stored(self, service: str) -> Set[str | None] | None:
        """Return the versions of which any router can learn, now and later.

        None while no version is stored.
        """
        stored = self._rows.list_stored(service)
        if stored is None:
            return None
        return {version or None for version in stored}

    def get_life_seconds(self) -> float:
        """Return for how long a stream that has begun may be resumed."""
        catalogue = self.get_catalogue()
        longest = catalogue.longest_stream_seconds if catalogue else 0.0
        life = LIFE_TIMEOUTS * longest
        return min(max(life, MIN_LIFE_SECONDS), MAX_LIFE_SECONDS)

    async def run(self, ticker: Ticker) -> None:
        """Repeat records and maintain the rows until cancelled."""
        await asyncio.gather(
            self._exchange.run(),
            self._run_rows(ticker),
            self._run_origins(ticker),
        )

    async def _run_rows(self, ticker: Ticker) -> None:
        while True:
            await ticker.wait(POLL_SECONDS)
            if self.is_loaded():
                await self.write_due_rows()

    async def _run_origins(self, ticker: Ticker) -> None:
        while True:
            await ticker.wait(ORIGIN_POLL_SECONDS)
            if self.is_loaded():
                await self.write_due_origins()

    def _list_services(self) -> list[str]:
        """Return the services to which routes of resumable streams lead."""
        catalogue = self.get_catalogue()
        routes = catalogue.resumable_routes if catalogue is not None else ()
        return sorted(
            {share.service for route in routes for share in route.shares}
        )

    async def write_due_origins(self) -> None:
        """Store the origins of open streams while they may differ."""
        needed = any(
            len(self._list_versions(service)) > 1
            for service in self._list_services()
        )
        await self._origin_rows.write_due(needed=needed)

    async def write_due_rows(self) -> None:
        """Write the rows that list other versions than were seen."""
        life = self.get_life_seconds()
        for service in self._list_services():
            used = {
                version or UNKNOWN_VERSION
                for version in self._recent.list_recent(service)
            }
            await self._rows.write_due(service, used, life)


async def _refresh_nothing() -> bool:
    """Do nothing; the default callback."""
    return True
