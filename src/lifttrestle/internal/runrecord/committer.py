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

"""Batches conditional writes of many requests into few transactions.

The table service sustains several hundred writes a second, far fewer than the
requests that arrive at peak load, so concurrent writes share a transaction.
"""

import asyncio
import collections
import dataclasses

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.store.row import Check
from lifttrestle.internal.store.row import Transaction
from lifttrestle.internal.store.row import Write
from lifttrestle.internal.store.table import TableService

MAX_GROUP_WRITES = 128


@dataclasses.dataclass(eq=False)
class PendingWrite:
    """A write that awaits the outcome of its group.

    :ivar done: receives the new version of the row, or the error.
    """

    check: Check
    write: Write
    done: asyncio.Future[int]


class GroupCommitter:
    """Commits the writes that arrive while the previous group is in flight.

    A background task runs as long as writes are pending; ``flush`` waits
    for it to end.
    """

    def __init__(self, table: TableService) -> None:
        self._table = table
        self._pending: collections.deque[PendingWrite] = collections.deque()
        self._task: asyncio.Task[None] | None = None

    async def commit(self, check: Check, write: Write) -> int:
        """Write a row if its check holds, and return its new version.

        :raises ConditionFailed: if the row does not match the check.
        :raises PlatformUnavailable: if no answer was received; the write
            may have taken effect, or may still do so.
        """
        done = asyncio.get_running_loop().create_future()
        self._pending.append(PendingWrite(check, write, done))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        return await done

    async def flush(self) -> None:
        """Wait until all pending writes are committed or have failed."""
        while self._task is not None and not self._task.done():
            await asyncio.wait({self._task})

    async def _run(self) -> None:
        while self._pending:
            await self._commit_group(self._pop_group())

    def _pop_group(self) -> list[PendingWrite]:
        """Remove the next group from the queue, at most one write per key."""
        group: dict[str, PendingWrite] = {}
        deferred: list[PendingWrite] = []
        while self._pending and len(group) < MAX_GROUP_WRITES:
            item = self._pending.popleft()
            if item.done.done():
                continue
            if item.write.key in group:
                deferred.append(item)
                continue
            group[item.write.key] = item
        self._pending.extendleft(reversed(deferred))
        return list(group.values())

    async def _commit_group(self, group: list[PendingWrite]) -> None:
        while group:
            transaction = Transaction(
                tuple(item.check for item in group),
                tuple(item.write for item in group),
            )
            try:
                commit = await self._table.transact(transaction)
            except ConditionFailed as conflict:
                group = _drop_failed(group, conflict)
                continue
            except PlatformUnavailable as error:
                _resolve(group, error)
                return
            except BaseException as error:
                _resolve(
                    group,
                    PlatformUnavailable(
                        f'group commit was interrupted: {error!r}'
                    ),
                )
                raise
            _resolve(group, commit)
            return


def _drop_failed(
    group: list[PendingWrite], conflict: ConditionFailed
) -> list[PendingWrite]:
    failed = [item for item in group if item.check.key in conflict.keys]
    if not failed:
        failed = group
    for item in failed:
        _resolve([item], ConditionFailed((item.check.key,)))
    return [item for item in group if item not in failed]


def _resolve(group: list[PendingWrite], outcome: int | Exception) -> None:
    for item in group:
        if item.done.done():
            continue
        if isinstance(outcome, Exception):
            item.done.set_exception(outcome)
        else:
            item.done.set_result(outcome)
