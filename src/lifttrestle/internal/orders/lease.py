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

"""A lease in the table service, with a fencing number that only grows.

The holder may be paused and wake after the lease has lapsed. Whoever takes it
over has a higher fencing number, and what checks it refuses the old one.
"""

import datetime

import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.store.row import ABSENT
from lifttrestle.internal.store.row import Check
from lifttrestle.internal.store.row import make_write
from lifttrestle.internal.store.row import Transaction
from lifttrestle.internal.store.table import TableService

NOT_HELD = 0
RENEW_SHARE = 0.5


class LeaseRow(msgspec.Struct, frozen=True):
    """Who holds the lease, under which number, and until when."""

    holder: str
    fencing: int
    expires_at: datetime.datetime


class Lease:
    """One router's hold on one lease.

    :param name: the lease's name in the table.
    :param holder: unique to this process.
    :param seconds: how long it holds without being renewed.
    :param clock_error_seconds: how far routers' clocks may differ; a lease
        is taken over only when every clock says that it has lapsed.
    """

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        name: str,
        holder: str,
        seconds: float,
        clock_error_seconds: float,
    ) -> None:
        self._table = table
        self._clock = clock
        self._key = f'lease/{name}'
        self._holder = holder
        self._seconds = seconds
        self._error = datetime.timedelta(seconds=clock_error_seconds)
        self._fencing = NOT_HELD
        self._renew_at = float('-inf')

    async def hold(self) -> int:
        """Return the fencing number, or ``NOT_HELD``.

        The number says only that the lease was held a moment ago: what acts
        on it has to check the number.
        """
        if self._clock.monotonic() < self._renew_at:
            return self._fencing
        self._fencing = NOT_HELD
        try:
            self._fencing = await self._take()
        except (ConditionFailed, PlatformUnavailable):
            # Another was faster, or it can't be known. The next call reads
            # the row again, and finds it ours if the write took effect.
            return NOT_HELD
        return self._fencing

    async def _take(self) -> int:
        asked_at = self._clock.monotonic()
        rows = await self._table.read((self._key,))
        row = rows.get(self._key)
        now = self._clock.now()
        known = None
        if row is not None:
            known = msgspec.json.decode(row.value, type=LeaseRow)
            lapsed = known.expires_at + self._error <= now
            if known.holder != self._holder and not lapsed:
                return NOT_HELD
        fencing = self._choose_number(known, now)
        expires_at = now + datetime.timedelta(seconds=self._seconds)
        taken = LeaseRow(self._holder, fencing, expires_at)
        version = row.version if row is not None else ABSENT
        await self._table.transact(
            Transaction(
                (Check(self._key, version),), (make_write(self._key, taken),)
            )
        )
        self._renew_at = asked_at + self._seconds * RENEW_SHARE
        return fencing

    def _choose_number(
        self, known: LeaseRow | None, now: datetime.datetime
    ) -> int:
        if known is None:
            return 1
        renewed = known.holder == self._holder and known.expires_at > now
        return known.fencing if renewed else known.fencing + 1
