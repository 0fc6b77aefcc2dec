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

"""A lease in the table service, with an increasing fencing number.

A holder may be paused and continue after its lease has expired. The next
holder gets a higher fencing number, so that receivers which check the number
reject late orders of the earlier holder.
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
RENEW_FRACTION = 0.5


class LeaseRow(msgspec.Struct, frozen=True):
    """The stored lease: its holder, fencing number and expiry."""

    holder: str
    fencing: int
    expires_at: datetime.datetime


class Lease:
    """A lease as one router acquires and renews it.

    :param name: name of the lease in the table.
    :param holder: identifier that is unique to this process.
    :param seconds: how long the lease is valid without a renewal.
    :param clock_error_seconds: how far the clocks of routers may differ; a
        lease is taken over only once it has expired by every clock.
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
        self._clock_error = datetime.timedelta(seconds=clock_error_seconds)
        self._fencing = NOT_HELD
        self._renew_at = float('-inf')

    async def acquire(self) -> int:
        """Acquire or renew the lease if due.

        The lease may expire at any time after the return, so receivers of
        orders have to check the number.

        :returns: the fencing number, or ``NOT_HELD``.
        """
        if self._clock.monotonic() < self._renew_at:
            return self._fencing
        self._fencing = NOT_HELD
        try:
            self._fencing = await self._acquire()
        except (ConditionFailed, PlatformUnavailable):
            # Another router was faster, or the outcome is unknown. The next
            # call reads the row again and sees whether the write took effect.
            return NOT_HELD
        return self._fencing

    async def _acquire(self) -> int:
        requested_at = self._clock.monotonic()
        rows = await self._table.read((self._key,))
        row = rows.get(self._key)
        now = self._clock.now()
        current = None
        if row is not None:
            current = msgspec.json.decode(row.value, type=LeaseRow)
            expired = current.expires_at + self._clock_error <= now
            if current.holder != self._holder and not expired:
                return NOT_HELD
        fencing = self._choose_fencing(current, now)
        expires_at = now + datetime.timedelta(seconds=self._seconds)
        updated = LeaseRow(self._holder, fencing, expires_at)
        version = row.version if row is not None else ABSENT
        await self._table.transact(
            Transaction(
                (Check(self._key, version),), (make_write(self._key, updated),)
            )
        )
        self._renew_at = requested_at + self._seconds * RENEW_FRACTION
        return fencing

    def _choose_fencing(
        self, current: LeaseRow | None, now: datetime.datetime
    ) -> int:
        if current is None:
            return 1
        renewed = current.holder == self._holder and current.expires_at > now
        return current.fencing if renewed else current.fencing + 1
