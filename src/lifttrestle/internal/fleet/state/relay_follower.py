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

"""Follows the shared tables through other routers, so that few read the store.

A few routers, the relays, read the store. They are selected among those of
the roster by rendezvous hashing. Each other router follows two of them. If
neither confirms that the tables are current for some time, the router reads
the store itself until one does again.
"""

import asyncio
from collections.abc import Callable
import math

from lifttrestle.errors import InputRefused
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.read_timeout import ReadTimeout
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.policy import relay_patience
from lifttrestle.internal.fleet.state.relay_messages import encode_frame
from lifttrestle.internal.fleet.state.relay_messages import extract_update
from lifttrestle.internal.fleet.state.relay_messages import MAX_UPDATE_BYTES
from lifttrestle.internal.fleet.state.relay_messages import NOTHING_CONFIRMED
from lifttrestle.internal.fleet.state.relay_messages import read_frame
from lifttrestle.internal.fleet.state.relay_messages import SubscribeRequest
from lifttrestle.internal.fleet.state.relay_messages import TableUpdate
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.table_watch import TableWatch
from lifttrestle.internal.http.address import parse_address
from lifttrestle.internal.http.byte_stream import set_tcp_timeouts
from lifttrestle.internal.intake.decoding import decode_msgpack
from lifttrestle.internal.intake.fault import InputFault
from lifttrestle.internal.routing.rendezvous import draw_share
from lifttrestle.internal.routing.rendezvous import rank_names
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('relay')
RELAY_RANKING_KEY = b'relays'
# There is one relay for this many routers, and at least two, so that one may
# fail. Each then has some 30 followers: a configuration of 40 KiB, twice the
# largest known, reaches all of them over a link of 5 Mbit/s within two
# seconds.
ROUTERS_PER_RELAY = 15
MIN_RELAYS = 2
# The number of relays that a router follows.
RELAYS_PER_FOLLOWER = 2
# Relays confirm the operator's table every 0.7 s. Without a confirmation for
# this long the router reads the store itself, as a change must be in force
# within 2 s.
POLL_SECONDS = 0.2
# A starting router requests the tables from relays, and reads them itself if
# it receives nothing for this long. When each router read each table and sent
# a first watch, 195 routers made 3,434 calls to the store at their start.
START_TIMEOUT_SECONDS = 0.5
START_POLL_SECONDS = 0.02
CONNECT_SECONDS = 0.3
# A relay whose connection failed is tried again after this time.
AVOID_SECONDS = 2.0
# The request is repeated at this interval to bound the error that the drift
# between the two routers' clocks accumulates.
RENEW_SECONDS = 30.0


class RelayFollower:
    """Keeps this router's tables current through relays where possible.

    :param watches: the watches of all tables. Only updates that confirm the
        first one show that a relay works.
    :param get_allowance: returns by how many seconds other processes may be
        late, as this one is.
    """

    def __init__(
        self,
        watches: list[TableWatch],
        roster: Roster,
        clock: Clock,
        get_allowance: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._get_allowance = get_allowance
        self._watches = {watch.table: watch for watch in watches}
        self._primary_watch = watches[0]
        self._roster = roster
        self._clock = clock
        self._connections: dict[str, asyncio.Task[None]] = {}
        self._avoided_until: dict[str, float] = {}
        self._last_confirmed_at = -math.inf
        # When a relay sent something last, which need not confirm anything.
        self._last_received_at = -math.inf
        self._patience = relay_patience.compute_patience(
            draw_share(roster.key)
        )
        # The last ranked list of routers, and the relays among them.
        self._ranked: list[str] = []
        self._relays: list[str] = []
        self._reads_directly = True

    async def run(self, ticker: Ticker) -> None:
        """Follow relays, and read the store directly while none works."""
        started_at = self._clock.monotonic()
        self._last_confirmed_at = (
            started_at
            - relay_patience.DEFAULT_TIMEOUT_SECONDS
            + START_TIMEOUT_SECONDS
        )
        try:
            while True:
                self._update_connections()
                self._choose_source()
                await ticker.wait(self._get_poll_interval(started_at))
        finally:
            for task in self._connections.values():
                task.cancel()
            await asyncio.gather(
                *self._connections.values(), return_exceptions=True
            )

    def _get_poll_interval(self, started_at: float) -> float:
        """Return the polling interval, which is shorter during the start."""
        since = self._clock.monotonic() - started_at
        if self._primary_watch.copy.loaded or since > START_TIMEOUT_SECONDS:
            return POLL_SECONDS
        return START_POLL_SECONDS

    @property
    def reads_store(self) -> bool:
        """Return whether this router reads the store itself."""
        return self._reads_directly

    def is_relay(self) -> bool:
        """Return whether this router is selected as a relay."""
        return self._roster.key in self._list_relays()

    def _list_relays(self) -> list[str]:
        routers = self._roster.routers
        if routers != self._ranked:
            # Ranking hashes every name, and this runs many times a second.
            self._ranked = routers
            count = math.ceil(len(routers) / ROUTERS_PER_RELAY)
            ranked = rank_names(RELAY_RANKING_KEY, routers)
            self._relays = ranked[: max(MIN_RELAYS, count)]
        return self._relays

    def _update_connections(self) -> None:
        chosen = self._choose_relays()
        for key, task in list(self._connections.items()):
            if task.done():
                del self._connections[key]
            elif key not in chosen:
                task.cancel()
        for key in chosen:
            if key not in self._connections:
                self._connections[key] = asyncio.create_task(
                    self._run_connection(key)
                )

    def _choose_relays(self) -> list[str]:
        """Return the relays to follow: one in this data centre, one not."""
        if not self._roster.loaded or self.is_relay():
            return []
        now = self._clock.monotonic()
        relays = [
            key
            for key in self._list_relays()
            if self._avoided_until.get(key, now) <= now
            and self._roster.get_address(key)
        ]
        own = self._roster.data_centre
        digest = self._roster.key.encode()[:64]
        ranked = rank_names(digest, relays)
        local = [
            key for key in ranked if self._roster.get_data_centre(key) == own
        ]
        remote = [key for key in ranked if key not in local]
        return (local[:1] + remote + local[1:])[:RELAYS_PER_FOLLOWER]

    async def _run_connection(self, key: str) -> None:
        try:
            await self._follow(key)
        except (
            OSError,
            TimeoutError,
            PlatformUnavailable,
            InputRefused,
        ) as error:
            LOG.info('relay.lost', router=key, reason=str(error))
        finally:
            now = self._clock.monotonic()
            self._avoided_until[key] = now + AVOID_SECONDS

    async def _follow(self, key: str) -> None:
        address = parse_address(self._roster.get_address(key))
        async with ReadTimeout(CONNECT_SECONDS + self._get_allowance()):
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
        set_tcp_timeouts(writer.transport)
        LOG.info('relay.asked', router=key)
        try:
            sent_at = [self._send_request(writer, 0)]
            while True:
                data = await read_frame(reader, MAX_UPDATE_BYTES)
                self._apply_update(decode_msgpack(data, TableUpdate), sent_at)
                if self._clock.monotonic() - sent_at[-1] > RENEW_SECONDS:
                    sent_at.append(self._send_request(writer, len(sent_at)))
        finally:
            writer.transport.abort()

    def _send_request(
        self, writer: asyncio.StreamWriter, number: int
    ) -> float:
        """Request all updates from now on; return when it was sent."""
        versions = {
            table: watch.copy.version
            for table, watch in self._watches.items()
            if watch.copy.loaded
        }
        now = self._clock.monotonic()
        writer.write(encode_frame(SubscribeRequest(number, versions)))
        return now

    def _apply_update(
        self, message: TableUpdate, sent_at: list[float]
    ) -> None:
        """Apply an update.

        The time as of which it is current is relative to the time at which
        this router sent the request.

        :raises InputRefused: if it claims to be current as of a future time.
        """
        self._last_received_at = self._clock.monotonic()
        watch = self._watches.get(message.table)
        if watch is None or not 0 <= message.request < len(sent_at):
            LOG.warning('relay.unexpected', table=message.table)
            return
        if message.as_of_offset == NOTHING_CONFIRMED:
            return
        current_as_of = sent_at[message.request] + message.as_of_offset
        if not current_as_of <= self._clock.monotonic():
            # Revoked keys would be accepted until that time.
            raise InputRefused(
                InputFault.FIELD,
                f'an update as of {message.as_of_offset} s after the request'
                ' is in the future',
            )
        previous_as_of = watch.current_as_of
        watch.apply_relayed(
            extract_update(message), current_as_of, message.after_outage
        )
        # An update that confirms nothing must not delay reading the store.
        if (
            watch is self._primary_watch
            and watch.current_as_of > previous_as_of
        ):
            self._last_confirmed_at = self._clock.monotonic()

    def _get_timeout(self, now: float) -> float:
        """Return after how long without a confirmation the store is read."""
        return relay_patience.get_timeout(
            self._patience,
            self._get_allowance(),
            now - self._last_received_at,
            len(self._roster.routers),
        )

    def _choose_source(self) -> None:
        now = self._clock.monotonic()
        unconfirmed = now - self._last_confirmed_at > self._get_timeout(now)
        directly = unconfirmed or (self._roster.loaded and self.is_relay())
        for watch in self._watches.values():
            watch.set_direct_reads(directly)
        if directly is not self._reads_directly:
            self._reads_directly = directly
            LOG.info('relay.source', store=directly)
