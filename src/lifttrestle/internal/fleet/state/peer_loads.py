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

"""What the other routers have under way at each upstream.

Each router tells the others a few times a second over datagrams, and at once
when an engine begins or ends to read a long prompt for it. One that is lost
is made up for by the next; what is older than a second counts for nothing, so
that a router that is gone holds no upstream busy.
"""

import asyncio
from typing import Annotated

import msgspec

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.policy.tell_pacing import TELL_SECONDS
from lifttrestle.internal.fleet.policy.tell_pacing import TellPacing
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.shared_parts import SharedParts
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.address import check_address
from lifttrestle.internal.intake.decoding import decode_msgpack
from lifttrestle.internal.intake.refusals import InputRefusals

Count = Annotated[int, msgspec.Meta(ge=0)]
# What is told counts for at least this long, and for three regular reports:
# one that is lost must not make a busy upstream look idle.
FRESH_SECONDS = 1.0
FRESH_TELLS = 3
# Without work there is nothing to tell, and silence says the same.
MAX_DATAGRAM_BYTES = 8 * 1024


class UpstreamLoad(msgspec.Struct, frozen=True, array_like=True):
    """What one router has under way at one start of an upstream."""

    start: str
    in_flight: Count
    unread_tokens: Count


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """All that one router has under way; it replaces its last report.

    :ivar parts: shared parts of prompts that engines read lately; only those
        that were not in an earlier report.
    """

    vm: str
    number: int
    loads: list[UpstreamLoad]
    parts: list[int] = []


class PeerLoads(asyncio.DatagramProtocol):
    """Sends this router's loads and sums up those of the others."""

    def __init__(
        self,
        vm: str,
        directory: UpstreamDirectory,
        roster: Roster,
        parts: SharedParts,
        clock: Clock,
        refusals: InputRefusals | None = None,
    ) -> None:
        self._refusals = refusals or InputRefusals()
        self._vm = vm
        self._parts = parts
        self._directory = directory
        self._roster = roster
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None
        self._reports: dict[str, LoadReport] = {}
        self._heard_at: dict[str, float] = {}
        # Those that the upstreams' sums hold, and since when.
        self._counted: dict[str, LoadReport] = {}
        self._summed_at = float('-inf')
        self._number = 0
        self._told_something = False
        self._pacing = TellPacing(clock)
        self._changed = asyncio.Event()

    def note_change(self) -> None:
        """Tell the others soon: a load has changed by a lot."""
        self._changed.set()

    async def start(self, address: Address) -> Address:
        """Listen at an address and return the one in force."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.host, address.port)
        )
        self._transport = transport
        host, port = transport.get_extra_info('sockname')[:2]
        return Address(host, port)

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, address: object) -> None:
        """Take in a report; what is none is dropped."""
        try:
            report = decode_msgpack(data, LoadReport)
        except ValueError as error:
            self._refusals.note('loads', str(address), error)
            return
        self.note(report)

    def note(self, report: LoadReport) -> None:
        """Believe a report, unless a newer one overtook it."""
        held = self._reports.get(report.vm)
        now = self._clock.monotonic()
        self._parts.note_told(report.parts, now)
        fresh_seconds = self._get_fresh_seconds()
        age = now - self._heard_at.get(report.vm, -fresh_seconds)
        # After a restart a router counts anew; its old report is stale then.
        if held is not None and held.number > report.number:
            if age < fresh_seconds:
                return
        self._reports[report.vm] = report
        self._heard_at[report.vm] = now
        if now - self._summed_at >= TELL_SECONDS:
            self._sum_up()
        else:
            self._replace(report)

    def _sum_up(self) -> None:
        """Add up all reports that count, and forget the others."""
        self._summed_at = self._clock.monotonic()
        latest = self._summed_at - self._get_fresh_seconds()
        for upstream in self._directory:
            upstream.peers_in_flight = 0
            upstream.peers_unread = 0
        self._counted = {
            vm: report
            for vm, report in self._reports.items()
            if self._heard_at[vm] >= latest
        }
        for report in self._counted.values():
            self._add(report, 1)

    def _replace(self, report: LoadReport) -> None:
        """Put a report in the place of the same router's last one.

        To sum up anew at each report would cost the square of the routers.
        """
        before = self._counted.get(report.vm)
        if before is not None:
            self._add(before, -1)
        self._counted[report.vm] = report
        self._add(report, 1)

    def _add(self, report: LoadReport, sign: int) -> None:
        for load in report.loads:
            upstream = self._directory.get_start(load.start)
            if upstream is None:
                continue
            # An upstream that was forgotten and is back starts from zero; the
            # next sum is right again.
            running = upstream.peers_in_flight + sign * load.in_flight
            unread = upstream.peers_unread + sign * load.unread_tokens
            upstream.peers_in_flight = max(running, 0)
            upstream.peers_unread = max(unread, 0)

    def get_tell_seconds(self) -> float:
        """Return the time between two regular reports of this router."""
        return self._pacing.get_regular_seconds(self._roster.live)

    def _get_fresh_seconds(self) -> float:
        return max(FRESH_SECONDS, FRESH_TELLS * self.get_tell_seconds())

    async def run(self) -> None:
        """Tell the others, for ever."""
        while True:
            try:
                async with asyncio.timeout(self.get_tell_seconds()):
                    await self._changed.wait()
            except TimeoutError:
                self._sum_up()
            pause = self._pacing.take(self._roster.live)
            if pause:
                await self._clock.sleep(pause)
            self._changed.clear()
            self._tell()

    def _tell(self) -> None:
        loads = [
            UpstreamLoad(
                upstream.start,
                upstream.in_flight,
                upstream.unread_tokens,
            )
            for upstream in self._directory
            if upstream.in_flight
        ]
        parts = self._parts.take_news()
        if not loads and not parts and not self._told_something:
            return
        self._told_something = bool(loads)
        self._number += 1
        report = LoadReport(self._vm, self._number, loads, parts)
        data = msgspec.msgpack.encode(report)
        if len(data) > MAX_DATAGRAM_BYTES or self._transport is None:
            return
        for text in self._roster.addresses:
            address = check_address(text)
            self._transport.sendto(data, (address.host, address.port))
