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

"""Claims idempotency keys in the table service, so each runs at most once.

A claim names the attempt that made it. A claim is never taken over, since its
holder may merely be paused. An attempt that was never sent to an upstream
voids its own claim.
"""

import asyncio
import dataclasses
import logging

import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.runrecord.committer import GroupCommitter
from lifttrestle.internal.runrecord.record import RunRecord
from lifttrestle.internal.runrecord.record import RunState
from lifttrestle.internal.store.row import ABSENT
from lifttrestle.internal.store.row import Check
from lifttrestle.internal.store.row import make_write
from lifttrestle.internal.store.row import Row
from lifttrestle.internal.store.table import TableService

LOG = logging.getLogger('lifttrestle.runrecord')
RETRY_PAUSE_SECONDS = 0.2
MAX_RETRY_PAUSE_SECONDS = 5.0


@dataclasses.dataclass(frozen=True)
class RunKey:
    """An idempotency key within its workspace."""

    workspace: str
    key: str

    @property
    def row(self) -> str:
        """Return the row key in the table service."""
        return f'run/{self.workspace}/{self.key}'


@dataclasses.dataclass(frozen=True)
class Claim:
    """A claim that one attempt holds.

    :ivar version: the version of its row in the table service.
    """

    run_key: RunKey
    record: RunRecord
    version: int


@dataclasses.dataclass(frozen=True)
class ClaimConflict:
    """The record of another attempt that prevents a claim."""

    record: RunRecord


class RunLedger:
    """Makes and voids claims and records their outcomes in grouped writes."""

    def __init__(self, table: TableService, clock: Clock, router: str) -> None:
        self._table = table
        self._clock = clock
        self._router = router
        self._committer = GroupCommitter(table)
        self._tasks: set[asyncio.Task[None]] = set()

    async def claim(
        self, run_key: RunKey, attempt: str, fingerprint: str
    ) -> Claim | ClaimConflict:
        """Claim a key for an attempt, or return the conflicting record.

        :raises PlatformUnavailable: if it is unknown whether the claim was
            written. The caller must then not send the request, and should
            ``void`` the claim, which may exist.
        """
        record = RunRecord(
            attempt,
            RunState.CLAIMED,
            fingerprint,
            self._router,
            self._clock.now(),
        )
        version = ABSENT
        while True:
            try:
                written = await self._write(run_key, record, version)
                return Claim(run_key, record, written)
            except (ConditionFailed, PlatformUnavailable):
                row = await self._read(run_key)
            if row is None:
                version = ABSENT
                continue
            found = _decode(row)
            if found.attempt == attempt:
                return Claim(run_key, record, row.version)
            if found.state is not RunState.VOID:
                return ClaimConflict(found)
            version = row.version

    async def void(self, run_key: RunKey, attempt: str) -> bool:
        """Try once to void the claim that this attempt may hold.

        :return: False if the table did not answer or the row has changed;
            ``schedule_void`` retries until it succeeds.
        """
        try:
            await self._write_state_once(run_key, attempt, RunState.VOID, 0)
        except (PlatformUnavailable, ConditionFailed):
            return False
        return True

    def schedule_void(self, run_key: RunKey, attempt: str) -> None:
        """Void a claim in the background, with retries until it succeeds."""
        self._start_state_write(run_key, attempt, RunState.VOID, 0)

    def schedule_finish(
        self, claim: Claim, state: RunState, status: int
    ) -> None:
        """Record the outcome of a claim in the background, with retries."""
        self._track(asyncio.create_task(self._finish(claim, state, status)))

    async def flush(self, seconds: float) -> None:
        """Wait for background writes, for at most ``seconds``."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=seconds)

    def _start_state_write(
        self, run_key: RunKey, attempt: str, state: RunState, status: int
    ) -> None:
        self._track(
            asyncio.create_task(
                self._write_state(run_key, attempt, state, status)
            )
        )

    def _track(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _finish(
        self, claim: Claim, state: RunState, status: int
    ) -> None:
        attempt = claim.record.attempt
        fingerprint = claim.record.fingerprint
        outcome = self._make_record(attempt, state, fingerprint, status)
        try:
            await self._write(claim.run_key, outcome, claim.version)
        except (PlatformUnavailable, ConditionFailed):
            await self._write_state(claim.run_key, attempt, state, status)

    async def _write_state(
        self, run_key: RunKey, attempt: str, state: RunState, status: int
    ) -> None:
        pause = RETRY_PAUSE_SECONDS
        while True:
            try:
                await self._write_state_once(run_key, attempt, state, status)
                return
            except (PlatformUnavailable, ConditionFailed) as error:
                LOG.debug(
                    'runrecord: state of attempt %s not written: %s',
                    attempt,
                    error,
                )
            await self._clock.sleep(pause)
            pause = min(pause * 2, MAX_RETRY_PAUSE_SECONDS)

    async def _write_state_once(
        self, run_key: RunKey, attempt: str, state: RunState, status: int
    ) -> None:
        row = await self._read(run_key)
        if row is None:
            # The write of the claim may still be in flight. This row makes
            # the condition of that write fail when it arrives.
            await self._write(
                run_key, self._make_record(attempt, state, '', status), ABSENT
            )
            return
        found = _decode(row)
        both_void = found.state is state is RunState.VOID
        if found.attempt != attempt and not both_void:
            return
        if found.attempt == attempt and found.state is state:
            return
        # If the row holds the void record of another attempt, the write of
        # our claim that would replace it may still be in flight; the new
        # version of the row makes that write fail as well.
        record = self._make_record(attempt, state, found.fingerprint, status)
        await self._write(run_key, record, row.version)

    def _make_record(
        self, attempt: str, state: RunState, fingerprint: str, status: int
    ) -> RunRecord:
        now = self._clock.now()
        return RunRecord(
            attempt, state, fingerprint, self._router, now, status
        )

    async def _write(
        self, run_key: RunKey, record: RunRecord, version: int
    ) -> int:
        return await self._committer.commit(
            Check(run_key.row, version), make_write(run_key.row, record)
        )

    async def _read(self, run_key: RunKey) -> Row | None:
        rows = await self._table.read((run_key.row,))
        return rows.get(run_key.row)


def _decode(row: Row) -> RunRecord:
    return msgspec.json.decode(row.value, type=RunRecord)
