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

"""A table service that holds each call until a test decides its outcome."""

import asyncio
import dataclasses
import enum
import typing

from lifttrestle.errors import LifttrestleError
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.store.memory_table import MemoryTable
from lifttrestle.internal.store.row import Row
from lifttrestle.internal.store.row import Transaction
from lifttrestle.internal.store.table import TableService

Operation = typing.Callable[[], typing.Awaitable[object]]
IDLE_ITERATIONS = 30


class Fate(enum.Enum):
    """Outcome of a call that a test chooses.

    Except for ``ANSWERED``, the caller gets ``PlatformUnavailable``: the call
    has no effect (``REFUSED``), has taken effect (``ANSWER_LOST``), or takes
    effect when the test applies it (``LATE``).
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    ANSWER_LOST = 'answer lost'
    LATE = 'answer lost, takes effect later'


@dataclasses.dataclass(eq=False)
class Call:
    """A pending call."""

    caller: str
    operation: Operation
    future: asyncio.Future


class Gate:
    """Holds the pending calls of all callers to one table.

    :ivar calls: calls whose outcome is not decided yet, the oldest first.
    :ivar late: operations that can still take effect though their callers have
        got an error or crashed.
    :ivar scans: number of scans that were called.
    """

    def __init__(self) -> None:
        self.table = MemoryTable()
        self.calls: list[Call] = []
        self.late: list[Operation] = []
        self.scans = 0

    async def decide(self, call: Call, fate: Fate) -> None:
        """Complete a pending call with a fate."""
        self.calls.remove(call)
        lost = PlatformUnavailable(fate.value)
        if fate is Fate.REFUSED:
            _complete(call, lost)
            return
        if fate is Fate.LATE:
            self.late.append(call.operation)
            _complete(call, lost)
            return
        outcome = await _run(call.operation)
        _complete(call, lost if fate is Fate.ANSWER_LOST else outcome)

    async def apply_late(self, index: int) -> None:
        """Apply an operation whose caller has got no answer."""
        await _run(self.late.pop(index))

    def forget(self, caller: str) -> None:
        """Turn the pending calls of a crashed caller into late operations."""
        for call in [item for item in self.calls if item.caller == caller]:
            self.calls.remove(call)
            self.late.append(call.operation)


class GatedTable(TableService):
    """The table as seen by one caller, whose calls wait at the gate."""

    def __init__(self, gate: Gate, caller: str) -> None:
        self._gate = gate
        self._caller = caller

    async def read(self, keys: tuple[str, ...]) -> dict[str, Row]:
        """Return the rows that exist among ``keys``."""
        return await self._submit(lambda: self._gate.table.read(keys))

    async def scan(self, prefix: str) -> list[Row]:
        """Return every row whose key begins with ``prefix``."""
        self._gate.scans += 1
        return await self._submit(lambda: self._gate.table.scan(prefix))

    async def transact(self, transaction: Transaction) -> int:
        """Apply the writes if all checks hold."""
        return await self._submit(
            lambda: self._gate.table.transact(transaction)
        )

    async def _submit(self, operation: Operation) -> typing.Any:
        future = asyncio.get_running_loop().create_future()
        self._gate.calls.append(Call(self._caller, operation, future))
        return await future


async def settle_loop() -> None:
    """Run all tasks until each waits for the gate or the clock."""
    for _ in range(IDLE_ITERATIONS):
        await asyncio.sleep(0)


async def cancel_others() -> None:
    """Cancel all other tasks of this loop and wait until they have ended."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _run(operation: Operation) -> object:
    try:
        return await operation()
    except LifttrestleError as error:
        return error


def _complete(call: Call, outcome: object) -> None:
    if call.future.done():
        return
    if isinstance(outcome, Exception):
        call.future.set_exception(outcome)
    else:
        call.future.set_result(outcome)
