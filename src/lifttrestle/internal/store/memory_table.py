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

"""An in-memory table service for the table stand-in and for tests."""

import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.internal.store.row import ABSENT
from lifttrestle.internal.store.row import Row
from lifttrestle.internal.store.row import Transaction
from lifttrestle.internal.store.table import TableService


class MemoryTable(TableService):
    """Keeps the rows in a dictionary; transactions are atomic.

    A transaction runs without an ``await``, so that no other task of the
    event loop sees part of it.
    """

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._commit = 0

    async def read(self, keys: tuple[str, ...]) -> dict[str, Row]:
        """Return the rows that exist among ``keys``."""
        return {key: self._rows[key] for key in keys if key in self._rows}

    async def scan(self, prefix: str) -> list[Row]:
        """Return every row whose key begins with ``prefix``, in order."""
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        return [self._rows[key] for key in keys]

    async def transact(self, transaction: Transaction) -> int:
        """Apply the writes if all checks hold; return the commit number.

        :raises ConditionFailed: with the keys whose checks failed.
        """
        failed = tuple(
            check.key
            for check in transaction.checks
            if self._get_version(check.key) != check.version
        )
        if failed:
            raise ConditionFailed(failed)
        self._commit += 1
        for write in transaction.writes:
            if write.is_removal:
                self._rows.pop(write.key, None)
                continue
            value = msgspec.Raw(bytes(write.value))
            self._rows[write.key] = Row(write.key, value, self._commit)
        return self._commit

    def _get_version(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else ABSENT
