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

"""A table service whose calls a test lets through one by one."""

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

Step = typing.Callable[[], typing.Awaitable[object]]
IDLE_TURNS = 30


class Fate(enum.Enum):
    """What becomes of a call."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    ANSWER_LOST = 'answer lost'
    LATE = 'answer lost, takes effect later'


@dataclasses.dataclass(eq=False)
class Call:
    """One call that waits for its fate."""

    caller: str
    step: Step
    future: asyncio.Future


class Gate:
    """Holds the calls of all callers to one table."""

    def __init__(self) -> None:
        self.table = MemoryTable()
        self.calls: list[Call] = []
        self.late: list[Step] = []
        self.scans = 0

    async def decide(self, call: Call, fate: Fate) -> None:
        """Let a call meet its fate."""
        self.calls.remove(call)
        lost = PlatformUnavailable(fate.value)
        if fate is Fate.REFUSED:
            _settle(call, lost)
            return
        if fate is Fate.LATE:
            self.late.append(call.step)
            _settle(call, lost)
            return
        outcome = await _run(call.step)
        _settle(call, lost if fate is Fate.ANSWER_LOST else outcome)

    async def apply_late(self, index: int) -> None:
        """Let a call take effect whose caller was told nothing."""
        await _run(self.late.pop(index))

    def forget(self, caller: str) -> None:
        """Keep the calls of a dead caller as ones that may come late."""
        for call in [item for item in self.calls if item.caller == caller]:
            self.calls.remove(call)
            self.late.append(call.step)


class GatedTable(TableService):
    """One caller's way to the table, through the gate."""

    def __init__(self, gate: Gate, caller: str) -> None:
        self._gate = gate
        self._caller = caller

    async def read(self, keys: tuple[str, ...]) -> dict[str, Row]:
        """Return the rows that exist among ``keys``."""
        return await self._pass(lambda: self._gate.table.read(keys))

    async def scan(self, prefix: str) -> list[Row]:
        """Return every row whose key begins with ``prefix``."""
        self._gate.scans += 1
        return await self._pass(lambda: self._gate.table.scan(prefix))

    async def transact(self, transaction: Transaction) -> int:
        """Apply the writes if all checks hold."""
        return await self._pass(lambda: self._gate.table.transact(transaction))

    async def _pass(self, step: Step) -> typing.Any:
        future = asyncio.get_running_loop().create_future()
        self._gate.calls.append(Call(self._caller, step, future))
        return await future


async def settle_loop() -> None:
    """Let every task run until it waits for the gate or the clock."""
    for _ in range(IDLE_TURNS):
        await asyncio.sleep(0)


async def cancel_others() -> None:
    """Cancel every other task of this loop and wait for their ends."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _run(step: Step) -> object:
    try:
        return await step()
    except LifttrestleError as error:
        return error


def _settle(call: Call, outcome: object) -> None:
    if call.future.done():
        return
    if isinstance(outcome, Exception):
        call.future.set_exception(outcome)
    else:
        call.future.set_result(outcome)
