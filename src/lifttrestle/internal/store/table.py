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

"""Interface of the platform's transactional table service."""

import abc

from lifttrestle.internal.store.row import Row
from lifttrestle.internal.store.row import Transaction


class TableService(abc.ABC):
    """Stores JSON rows by key, with conditional transactions.

    Every method raises ``PlatformUnavailable`` without a usable answer; a
    transaction may have been committed nevertheless.
    """

    @abc.abstractmethod
    async def read(self, keys: tuple[str, ...]) -> dict[str, Row]:
        """Return the rows that exist among ``keys``, as of one commit."""

    @abc.abstractmethod
    async def scan(self, prefix: str) -> list[Row]:
        """Return every row whose key begins with ``prefix``, in order."""

    @abc.abstractmethod
    async def transact(self, transaction: Transaction) -> int:
        """Apply the writes if all checks hold; return the commit number.

        :raises ConditionFailed: with the keys whose checks failed; nothing
            was written.
        """
