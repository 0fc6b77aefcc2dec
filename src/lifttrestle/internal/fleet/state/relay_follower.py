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

"""Learns of the shared tables from other routers, so that few read the store.

A few routers, by rendezvous among those of the roster, read the store; the
others ask two of them each. When none of the two has told anything new for a
while, a router reads the store itself until one does again.
"""

import asyncio
import math

from lifttrestle.errors import InputRefused
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.state.relay_messages import encode_frame
from lifttrestle.internal.fleet.state.relay_messages import MAX_NEWS_BYTES
from lifttrestle.internal.fleet.state.relay_messages import Question
from lifttrestle.internal.fleet.state.relay_messages import read_frame
from lifttrestle.internal.fleet.state.relay_messages import read_news
from lifttrestle.internal.fleet.state.relay_messages import TableNews
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.table_watch import TableWatch
from lifttrestle.internal.http.address import check_address
from lifttrestle.internal.http.byte_stream import bound_silence
from lifttrestle.internal.intake.decoding import decode_msgpack
from lifttrestle.internal.intake.fault import InputFault
from lifttrestle.internal.routing.rendezvous import rank_names
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('relay')
RANKING = b'relays'
# Routers that read the store: two at least, so that one may be lost, and one
# for this many others. Some 30 then ask each of them: a configuration of
# 40 KiB, twice the largest known, passes a link of 5 Mbit/s to all of them
# within two seconds.
ROUTERS_PER_RELAY = 15
MIN_RELAYS = 2
# A router asks this many.
ASKED_RELAYS = 2
# Relays prove the operator's table every 0.7 s; without a proof for this
# long they are taken for lost. A change must be in force within 2 s.
SILENT_SECONDS = 1.1
LOOK_SECONDS = 0.2
# A router that starts asks others for the tables, and reads them itself when
# it was told nothing for this long. With a read of each table and a first
# watch by each, 195 routers made 3,434 calls to the store at their start.
START_SECONDS = 0.5
START_LOOK_SECONDS = 0.02
CONNECT_SECONDS = 0.3
# A relay that was lost is asked again after this time.
AVOID_SECONDS = 2.0
# Questions are asked anew, so that the two clocks' speeds do not add up.
RENEW_SECONDS = 30.0


class RelayFollower:
    """Keeps this router's tables current through others, where it can.

    :param watches: the first is the one whose proofs count.
    """

    def __init__(
        self, watches: list[TableWatch], roster: Roster, clock: Clock
    ) -> None:
        self._watches = {watch.table: watch for watch in watches}
        self._leading = watches[0]
        self._roster = roster
        self._clock = clock
        self._asking: dict[str, asyncio.Task[None]] = {}
        self._avoided_until: dict[str, float] = {}
        self._told_at = -math.inf
        # The routers that were ranked last, and the relays among them.
        self._ranked: list[str] = []
        self._relays: list[str] = []
        self._directly = True

    async def run(self, beat: Ticker) -> None:
        """Ask other routers, or see to it that the store is read."""
        began = self._clock.monotonic()
        self._told_at = began - SILENT_SECONDS + START_SECONDS
        try:
            while True:
                self._ask_relays()
                self._choose_source()
                await beat.wait(self._get_pause(began))
        finally:
            for task in self._asking.values():
                task.cancel()
            await asyncio.gather(
                *self._asking.values(), return_exceptions=True
            )

    def _get_pause(self, began: float) -> float:
        """Return the time until the next look: short while it starts."""
        since = self._clock.monotonic() - began
        if self._leading.copy.loaded or since > START_SECONDS:
            return LOOK_SECONDS
        return START_LOOK_SECONDS

    @property
    def reads_store(self) -> bool:
        """Return whether this router reads the store itself."""
        return self._directly

    def is_relay(self) -> bool:
        """Return whether this router is one of those that read the store."""
        return self._roster.key in self._list_relays()

    def _list_relays(self) -> list[str]:
        routers = self._roster.routers
        if routers != self._ranked:
            # Ranking hashes every name, and this is asked many times a second.
            self._ranked = routers
            count = math.ceil(len(routers) / ROUTERS_PER_RELAY)
            ranked = rank_names(RANKING, routers)
            self._relays = ranked[: max(MIN_RELAYS, count)]
        return self._relays

    def _ask_relays(self) -> None:
        wanted = self._choose_relays()
        for key, task in list(self._asking.items()):
            if task.done():
                del self._asking[key]
            elif key not in wanted:
                task.cancel()
        for key in wanted:
            if key not in self._asking:
                self._asking[key] = asyncio.create_task(self._ask(key))

    def _choose_relays(self) -> list[str]:
        """Return whom to ask: one nearby, then one elsewhere."""
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
        near = [
            key for key in ranked if self._roster.get_data_centre(key) == own
        ]
        far = [key for key in ranked if key not in near]
        return (near[:1] + far + near[1:])[:ASKED_RELAYS]

    async def _ask(self, key: str) -> None:
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
        address = check_address(self._roster.get_address(key))
        async with asyncio.timeout(CONNECT_SECONDS):
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
        bound_silence(writer.transport)
        LOG.info('relay.asked', router=key)
        try:
            asked_at = [self._question(writer, 0)]
            while True:
                data = await read_frame(reader, MAX_NEWS_BYTES)
                self._take(decode_msgpack(data, TableNews), asked_at)
                if self._clock.monotonic() - asked_at[-1] > RENEW_SECONDS:
                    asked_at.append(self._question(writer, len(asked_at)))
        finally:
            writer.transport.abort()

    def _question(self, writer: asyncio.StreamWriter, number: int) -> float:
        """Ask for all news from now on; return when that was."""
        versions = {
            table: watch.copy.version
            for table, watch in self._watches.items()
            if watch.copy.loaded
        }
        now = self._clock.monotonic()
        writer.write(encode_frame(Question(number, versions)))
        return now

    def _take(self, message: TableNews, asked_at: list[float]) -> None:
        """Believe a proof, counted from when the question was sent.

        :raises InputRefused: if it proves what is not yet.
        """
        watch = self._watches.get(message.table)
        if watch is None or not 0 <= message.question < len(asked_at):
            LOG.warning('relay.unexpected', table=message.table)
            return
        proved_at = asked_at[message.question] + message.proved_after
        if not proved_at <= self._clock.monotonic():
            # Keys that are taken away would work for as long as it says.
            raise InputRefused(
                InputFault.FIELD,
                f'a proof as of {message.proved_after} s after the question'
                ' is not over yet',
            )
        previous_proved_at = watch.proved_at
        watch.take_relayed(read_news(message), proved_at, message.after_outage)
        # News that proves nothing must not delay reading the store directly.
        if watch is self._leading and watch.proved_at > previous_proved_at:
            self._told_at = self._clock.monotonic()

    def _choose_source(self) -> None:
        now = self._clock.monotonic()
        silent = now - self._told_at > SILENT_SECONDS
        directly = silent or (self._roster.loaded and self.is_relay())
        for watch in self._watches.values():
            watch.read_directly(directly)
        if directly is not self._directly:
            self._directly = directly
            LOG.info('relay.source', store=directly)
