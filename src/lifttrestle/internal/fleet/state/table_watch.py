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

"""Keeps the copy of one shared table up to date.

A copy is current as of the time at which its last successful read was *sent*:
the response may lack any later change. A response that arrives late still
confirms the copy, so a slow read goes on beside the next one.
"""

import asyncio
from collections.abc import Callable
import random

from lifttrestle.errors import HistoryGone
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.read_timeout import ReadTimeout
from lifttrestle.internal.fleet.state.read_turns import ReadLeader
from lifttrestle.internal.fleet.state.read_turns import ReadTurns
from lifttrestle.internal.fleet.state.restore_policy import RestorePolicy
from lifttrestle.internal.fleet.state.row_version import format_version
from lifttrestle.internal.fleet.state.row_version import get_epoch
from lifttrestle.internal.fleet.state.rows import NO_ROW
from lifttrestle.internal.fleet.state.rows import RowChanges
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.store_contact import StoreContact
from lifttrestle.internal.fleet.state.table_copy import CopyUpdate
from lifttrestle.internal.fleet.state.table_copy import RowListener
from lifttrestle.internal.fleet.state.table_copy import TableCopy
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('watch')
# Backoff after a failed read: short enough to recover within a fraction of
# the shortest guarantee (2 s), doubled to relieve an overloaded store.
FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.5
# A read that takes longer, apart from the time that the store waits for a
# change, is late: the next one is sent, on another connection.
LATE_SECONDS = 0.8


class TableWatch(ReadLeader):
    """Follows one table and calls a listener for each change.

    :param wait_seconds: how long the store waits for a change before it
        responds to a watch; the client's timeout is longer by this.
    :param listener: is called with each row that is new, changed or removed.
    :param batch_seconds: pause between a read with changes and the next one,
        so that changes in quick succession take one read.
    :param eager: read the table from the store once, even while direct reads
        are off; otherwise another router may send all of it first.
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
        self._table = table
        self._clock = clock
        self._source = source
        self._wait_seconds = wait_seconds
        self._batch_seconds = batch_seconds
        self._history_gone = False
        self._reading: asyncio.Task[bool] | None = None
        self._turns = ReadTurns(table, clock, eager=eager)
        self._dependants: list[TableWatch] = []
        self._observers: list[Callable[[TableWatch], None]] = []
        self.copy = TableCopy(table, clock, listener, policy)
        self._contact = StoreContact(table, clock)

    @property
    def lost(self) -> bool:
        """Return whether the last read failed or is late.

        During the first update after an outage, observers still see True.
        """
        return self._contact.lost

    @property
    def disturbed_at(self) -> float:
        """Return when the last outage or restore of the store ended."""
        return self._contact.disturbed_at

    @property
    def table(self) -> str:
        """Return the name of the table."""
        return self._table

    @property
    def current_as_of(self) -> float:
        """Return the time as of which the copy is known to be current."""
        return self.copy.current_as_of

    def get_age(self) -> float:
        """Return the seconds since the copy was last known to be current."""
        return self.copy.get_age()

    def set_direct_reads(self, directly: bool) -> None:
        """Read the store if ``directly``, else rely on other routers."""
        if directly:
            self._turns.direct.set()
        else:
            self._turns.direct.clear()

    def add_observer(self, observer: 'Callable[[TableWatch], None]') -> None:
        """Call ``observer`` after each successful read or relayed update."""
        self._observers.append(observer)

    def apply_relayed(
        self, update: CopyUpdate, current_as_of: float, after_outage: bool
    ) -> None:
        """Apply what another router has read.

        :param after_outage: the store was unavailable before that read.
        """
        if get_epoch(update.changes.version) < get_epoch(self.copy.version):
            # The other router has not seen the restore yet or reports no
            # epoch, so its reads say nothing about the current epoch.
            LOG.info(
                'watch.earlier_epoch',
                table=self._table,
                version=format_version(update.changes.version),
                held=format_version(self.copy.version),
            )
            return
        confirms = current_as_of > self.current_as_of
        if confirms:
            self._contact.lost = self._contact.lost or after_outage
        if update.is_snapshot and update.changes.version < self.copy.version:
            # This router's own read has returned a newer version. The time as
            # of which the update is current still counts: the table had no
            # newer version then.
            update = CopyUpdate(RowChanges((), update.changes.version), False)
        self._apply(update, current_as_of)
        if confirms:
            self._note_regained()

    def restart_with(self, other: 'TableWatch') -> None:
        """Restart the pending read when ``other`` reaches the store again.

        A read that was sent before an outage may wait for a response that
        never arrives, although the store is available again. While ``other``
        does not reach it, this sends one read at a time, and none while the
        copy of ``other`` is out of date.
        """
        other._dependants.append(self)
        self._turns.leader = other

    async def run(self) -> None:
        """Follow the table until cancelled."""
        pause = FIRST_PAUSE_SECONDS
        try:
            while True:
                await self._turns.wait()
                if not await self._start_read():
                    continue
                try:
                    await self._finish_read()
                    pause = FIRST_PAUSE_SECONDS
                except PlatformUnavailable as error:
                    self._note_lost(str(error))
                    await self._clock.sleep(
                        pause * self._source.uniform(0.5, 1.0)
                    )
                    pause = min(pause * 2, MAX_PAUSE_SECONDS)
        finally:
            self.restart()

    async def _start_read(self) -> bool:
        """Send a read; return whether it ended in time."""
        reading = asyncio.create_task(self.read_once())
        self._reading = reading
        await asyncio.wait({reading}, timeout=self._get_limit())
        if reading.done():
            return True
        late = self._turns.late
        late.add(reading)
        self._note_lost(f'no answer for {LATE_SECONDS} s, {len(late)} late')
        return False

    async def _finish_read(self) -> None:
        """Pause after a read with changes.

        :raises PlatformUnavailable: if it failed.
        """
        reading = self._reading
        if reading is None or reading.cancelled():
            return
        if reading.result() and self._batch_seconds:
            await self._clock.sleep(self._batch_seconds)

    def _get_limit(self, *, waiting: bool = True) -> float:
        """Return the seconds after which a read that starts now is late."""
        return LATE_SECONDS + self._get_wait_seconds(waiting=waiting)

    def _get_wait_seconds(self, *, waiting: bool) -> float:
        """Return for how long the store waits for a change."""
        # After a failed read, a waiting read would show that the store is
        # available again only when it times out.
        is_watch = self.copy.loaded and not self._history_gone
        can_wait = waiting and is_watch and not self.lost
        return self._wait_seconds if can_wait else 0.0

    async def refresh(self) -> None:
        """Bring the copy up to date with the store, beside other reads.

        :raises PlatformUnavailable: if the store can't be read.
        """
        begun_at = self._clock.monotonic()
        while self.current_as_of < begun_at:
            try:
                async with ReadTimeout(self._get_limit(waiting=False)):
                    await self.read_once(waiting=False)
            except TimeoutError as error:
                raise PlatformUnavailable(
                    f'the table {self._table!r} was not read in time'
                ) from error

    async def read_once(self, *, waiting: bool = True) -> bool:
        """Read once, apply the response and return if it had changes.

        :param waiting: let the store wait for a change.
        """
        sent_at = self._clock.monotonic()
        late_at = sent_at + self._get_limit(waiting=waiting)
        if not self.copy.loaded or self._history_gone:
            snapshot = await self._store.read_table(self._table)
            self._apply_read(CopyUpdate(snapshot, True), sent_at, late_at)
            self._history_gone = False
            return True
        try:
            changes = await self._store.watch_table(
                self._table,
                self.copy.version,
                self._get_wait_seconds(waiting=waiting),
            )
        except HistoryGone as error:
            LOG.info(
                'watch.history_gone', table=self._table, reason=str(error)
            )
            self._history_gone = True
            return False
        self._apply_read(CopyUpdate(changes, False), sent_at, late_at)
        return bool(changes.rows)

    def _apply_read(
        self, update: CopyUpdate, sent_at: float, late_at: float
    ) -> None:
        """Apply an answer; a late one does not end an outage."""
        self._apply(update, sent_at)
        if self._clock.monotonic() <= late_at:
            self._note_regained()

    def restart(self) -> None:
        """Cancel the pending read and send another."""
        self._turns.late.cancel()
        if self._reading is not None:
            self._reading.cancel()

    def _apply(self, update: CopyUpdate, current_as_of: float) -> None:
        previous_version = self.copy.version
        age = self.get_age()
        apply = (
            self.copy.apply_snapshot
            if update.is_snapshot
            else self.copy.apply_changes
        )
        apply(update.changes, current_as_of)
        if self.copy.loaded:
            self._turns.note_loaded()
        if previous_version != NO_ROW:
            self._note_epoch_change(previous_version, age)
        for observer in self._observers:
            observer(self)

    def _note_epoch_change(self, previous_version: int, age: float) -> None:
        """If the epoch changed, log it and restart the dependants' reads.

        :param age: the age of the copy before the change.
        """
        version = self.copy.version
        epoch = get_epoch(version)
        if epoch == get_epoch(previous_version):
            return
        self._contact.note_disturbed()
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

    def _note_lost(self, reason: str) -> None:
        self._contact.note_lost(self.get_age(), reason)

    def _note_regained(self) -> None:
        if self._contact.note_regained(self.copy.version):
            for watch in self._dependants:
                watch.restart()
