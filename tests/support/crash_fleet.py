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

"""A fleet of routers that exchange crash records without sockets."""

import datetime
import random

import msgspec

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.crashes.loss_states import StartEvidence
from lifttrestle.internal.fleet.crashes.lost_origins import RequestOrigin
from lifttrestle.internal.fleet.crashes.replicator import SEND_COUNT
from lifttrestle.internal.fleet.crashes.tracker import CrashTracker
from lifttrestle.internal.fleet.policy.row_pacing import get_write_seconds
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.load_messages import decode_message
from lifttrestle.internal.fleet.state.load_messages import encode_message
from lifttrestle.internal.fleet.state.roster import FLEET_TABLE
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.router_row import RouterRow
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.table_copy import TableCopy
from lifttrestle.internal.platform.stored_format import PlatformFormat
from tests.support.entries import make_entry
from tests.support.memory_rows import MemoryRows

START = datetime.datetime(2026, 12, 3, tzinfo=datetime.timezone.utc)
ORIGIN = RequestOrigin('acme', 'safe')
BORN = 1_767_225_600_000
HEARTBEAT_SECONDS = 1.2


class CrashFleet:
    """Routers with one directory each, connected by lossy messages.

    :param lost_share: share of the messages that are lost.
    :ivar gone: numbers of the routers that receive and send nothing.
    :ivar messages: number of sent messages.
    :ivar bytes: total size of the sent messages.
    """

    def __init__(
        self, routers: int, upstreams: int = 6, lost_share: float = 0.0
    ) -> None:
        self.clock = ManualClock(START)
        self.rows = MemoryRows()
        self.gone: set[int] = set()
        self.messages = 0
        self.bytes = 0
        self._lost_share = lost_share
        self._source = random.Random(1)
        self.directories: list[UpstreamDirectory] = []
        self.trackers: list[CrashTracker] = []
        self._copies: list[TableCopy] = []
        self._upstreams = upstreams
        self._names = [f'router/r{number}' for number in range(routers)]
        for number in range(routers):
            self.directories.append(self._make_directory())
            self.trackers.append(self._make_tracker(number))
            self._copies.append(self._make_copy(number))

    def _make_directory(self) -> UpstreamDirectory:
        directory = UpstreamDirectory(PlatformFormat(), self.clock)
        for upstream in range(self._upstreams):
            entry = make_entry(born=BORN, address=f'127.0.0.1:{upstream + 1}')
            value = msgspec.json.encode(entry)
            directory.apply_row(VersionedRow(f'p{upstream}', value, 1))
        return directory

    def _make_tracker(self, number: int) -> CrashTracker:
        roster = Roster(self.rows, self.clock, f'r{number}', 'a')
        roster.loaded = True
        for name in self._names:
            row = msgspec.json.encode(RouterRow('a', '127.0.0.1:9'))
            roster.apply_row(VersionedRow(name, row, 1))
        directory = self.directories[number]
        tracker = CrashTracker(
            f'r{number}',
            self.rows,
            directory,
            roster,
            self.clock,
            HEARTBEAT_SECONDS,
        )
        tracker.replicator.send = self._send
        return tracker

    def _make_copy(self, number: int) -> TableCopy:
        return TableCopy(
            FLEET_TABLE, self.clock, self.trackers[number].apply_row
        )

    def restart(self, number: int) -> None:
        """Start a router again, with an empty memory."""
        self.directories[number] = self._make_directory()
        self.trackers[number] = self._make_tracker(number)
        self._copies[number] = self._make_copy(number)

    async def synchronize(self) -> None:
        """Let all running routers read and write the rows of crashes."""
        self.clock.advance(max(1.0, get_write_seconds(len(self.trackers))))
        running = [
            number
            for number in range(len(self.trackers))
            if number not in self.gone
        ]
        await self._read(running)
        for number in running:
            await self.trackers[number].rows.synchronize()
        await self._read(running)

    def tell_good_ends(self) -> None:
        """Let all running routers tell of good ends that are due."""
        running = [
            tracker
            for number, tracker in enumerate(self.trackers)
            if number not in self.gone
        ]
        for tracker in running:
            tracker.tell_good_ends()
        for tracker in running:
            tracker.replicator.send_pending()

    async def _read(self, numbers: list[int]) -> None:
        """Let routers read the routers' table, if the store is up."""
        if self.rows.down:
            return
        table = await self.rows.read_table(FLEET_TABLE)
        for number in numbers:
            self._copies[number].apply_snapshot(table, self.clock.monotonic())

    def _send(self, update, key) -> None:
        data = encode_message(update)
        self.messages += 1
        self.bytes += len(data)
        if self._source.random() < self._lost_share:
            return
        number = int(key.removeprefix('router/r'))
        if number in self.gone:
            return
        self.trackers[number].handle_update(decode_message(data))

    def crash(self, router: int, upstream: int, digests: list[int]) -> None:
        """Crash an upstream under requests of one router."""
        tracker = self.trackers[router]
        known = self.directories[router].get(f'p{upstream}')
        for digest in digests:
            tracker.note_lost(digest, ORIGIN, known)
        tracker.losses.note_evidence(known.start, StartEvidence.REFUSED)

    def remove_upstreams(self, count: int) -> None:
        """Remove the entries of the first upstreams without notice."""
        for directory in self.directories:
            for upstream in range(count):
                row = VersionedRow(f'p{upstream}', None, 2)
                directory.apply_row(row)

    def sweep(self) -> None:
        """Let all running routers decide on losses that are due."""
        for number, tracker in enumerate(self.trackers):
            if number not in self.gone:
                tracker.sweep()

    def send_updates(self) -> None:
        """Send all pending updates, with all their repetitions."""
        for _ in range(SEND_COUNT):
            for number, tracker in enumerate(self.trackers):
                if number not in self.gone:
                    tracker.replicator.send_pending()

    def count_holding(self, digest: int) -> int:
        """Return the number of routers that hold a request."""
        return sum(tracker.is_held(digest) for tracker in self.trackers)
