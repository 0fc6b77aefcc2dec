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

"""Keeps the rows of one shared table up to date, and proves how current.

What is held is known to be current as of the moment at which the read that
proved it was *sent*: any later change may be missing from its answer.
"""

import asyncio
from collections.abc import Callable
import random

from lifttrestle.errors import HistoryGone
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.restore_policy import RestorePolicy
from lifttrestle.internal.fleet.state.row_version import format_version
from lifttrestle.internal.fleet.state.row_version import get_epoch
from lifttrestle.internal.fleet.state.rows import NO_ROW
from lifttrestle.internal.fleet.state.rows import RowChanges
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.table_copy import CopyUpdate
from lifttrestle.internal.fleet.state.table_copy import RowListener
from lifttrestle.internal.fleet.state.table_copy import TableCopy
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('watch')
# Pauses after a failed read: short enough to be back within a fraction of
# the shortest promise (2 s), doubled to spare a store that is overloaded.
FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.5


class TableWatch:
    """Follows one table and tells each change to a listener.

    :param wait_seconds: how long the store holds a read without news; a
        watch that is silent for longer is taken for dead by the client.
    :param listener: is called with each row that is new, changed or removed.
    :param batch_seconds: between news and the next read, so that changes that
        come together cost one read.
    :param eager: read the table once without being told to; else another
        router may tell all of it first.
    :param policy: decides which held rows are kept when the store is
        restored from an older copy; by default none.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        clock: Clock,
        source: random.Random,
        wait_seconds: float,
        listener: RowListener,
        batch_seconds: float = 0.0,
        *,
        eager: bool = True,
        policy: RestorePolicy | None = None,
    ) -> None:
        self._store = store
        self._eager = eager
        self._table = table
        self._clock = clock
        self._source = source
        self._wait_seconds = wait_seconds
        self._rest_seconds = batch_seconds
        self._history_gone = False
        self._lost = False
        self._direct = asyncio.Event()
        if eager:
            self._direct.set()
        self._reading: asyncio.Task[bool] | None = None
        self._dependants: list[TableWatch] = []
        self._followers: list[Callable[[TableWatch], None]] = []
        self.copy = TableCopy(table, clock, listener, policy)

    @property
    def lost(self) -> bool:
        """Return whether the last read failed."""
        return self._lost

    @property
    def table(self) -> str:
        """Return the name of the table."""
        return self._table

    @property
    def current_as_of(self) -> float:
        """Return until when what is held is known to be current."""
        return self.copy.current_as_of

    def get_age(self) -> float:
        """Return for how many seconds nothing has proved what is held."""
        return self.copy.get_age()

    def set_direct_reads(self, directly: bool) -> None:
        """Read the store, or leave that to other routers from now on."""
        if directly:
            self._direct.set()
        else:
            self._direct.clear()

    def tell(self, follower: 'Callable[[TableWatch], None]') -> None:
        """Call ``follower`` after each proof."""
        self._followers.append(follower)

    def take_relayed(
        self, news: CopyUpdate, current_as_of: float, after_outage: bool
    ) -> None:
        """Take in what another router has read.

        :param after_outage: the store was away before that router read it.
        """
        if get_epoch(news.changes.version) < get_epoch(self.copy.version):
            # The other router has not seen the restore yet or reports no
            # epoch, so its reads prove nothing about the current epoch.
            LOG.info(
                'watch.earlier_epoch',
                table=self._table,
                version=format_version(news.changes.version),
                held=format_version(self.copy.version),
            )
            return
        self._lost = self._lost or after_outage
        if news.whole and news.changes.version < self.copy.version:
            # It was overtaken by this router's own read; what it proves
            # holds, as nothing newer was there.
            news = CopyUpdate(RowChanges((), news.changes.version), False)
        self._take(news, current_as_of)

    def restart_with(self, other: 'TableWatch') -> None:
        """Read anew when ``other`` has regained the store.

        A read that was sent before an outage may wait for an answer that
        never comes, while the store is back.
        """
        other._dependants.append(self)

    async def run(self) -> None:
        """Follow the table for ever."""
        pause = FIRST_PAUSE_SECONDS
        while True:
            if self.copy.loaded or not self._eager:
                await self._direct.wait()
            self._reading = asyncio.create_task(self.step())
            try:
                await asyncio.wait({self._reading})
            finally:
                self._reading.cancel()
            try:
                news = not self._reading.cancelled() and self._reading.result()
                pause = FIRST_PAUSE_SECONDS
                if news and self._rest_seconds:
                    await self._clock.sleep(self._rest_seconds)
            except PlatformUnavailable as error:
                self._note_lost(error)
                await self._clock.sleep(pause * self._source.uniform(0.5, 1.0))
                pause = min(pause * 2, MAX_PAUSE_SECONDS)

    async def step(self) -> bool:
        """Make one read and take in what it says; return if it was news."""
        asked_at = self._clock.monotonic()
        if not self.copy.loaded or self._history_gone:
            snapshot = await self._store.read_table(self._table)
            self._take(CopyUpdate(snapshot, True), asked_at)
            self._history_gone = False
            return True
        # While it is lost, a read that waits would tell of the store's
        # return only when it times out.
        wait = 0.0 if self._lost else self._wait_seconds
        try:
            changes = await self._store.watch_table(
                self._table, self.copy.version, wait
            )
        except HistoryGone as error:
            LOG.info(
                'watch.history_gone', table=self._table, reason=str(error)
            )
            self._history_gone = True
            return False
        self._take(CopyUpdate(changes, False), asked_at)
        return bool(changes.rows)

    def restart(self) -> None:
        """Give up the read that is under way and send another."""
        if self._reading is not None:
            self._reading.cancel()

    def _take(self, news: CopyUpdate, current_as_of: float) -> None:
        previous_version = self.copy.version
        age = self.get_age()
        take = (
            self.copy.apply_snapshot if news.whole else self.copy.apply_changes
        )
        take(news.changes, current_as_of)
        if previous_version != NO_ROW:
            self._note_epoch_change(previous_version, age)
        for follower in self._followers:
            follower(self)
        self._note_regained()

    def _note_epoch_change(self, previous_version: int, age: float) -> None:
        """If the epoch changed, log it and restart the dependants' reads.

        :param age: the age of the copy before the change.
        """
        version = self.copy.version
        epoch = get_epoch(version)
        if epoch == get_epoch(previous_version):
            return
        LOG.warning(
            'watch.epoch_changed',
            table=self._table,
            version=format_version(version),
            before=format_version(previous_version),
            age_s=round(age, 3),
        )
        for watch in self._dependants:
            # A pending read of an earlier epoch may block until it times out.
            if get_epoch(watch.copy.version) < epoch:
                watch.restart()

    def _note_lost(self, error: PlatformUnavailable) -> None:
        if not self._lost:
            LOG.warning(
                'watch.lost',
                table=self._table,
                age_s=round(self.get_age(), 3),
                reason=str(error),
            )
        self._lost = True

    def _note_regained(self) -> None:
        if self._lost:
            LOG.info(
                'watch.regained',
                table=self._table,
                version=format_version(self.copy.version),
            )
            self._lost = False
            for watch in self._dependants:
                watch.restart()
