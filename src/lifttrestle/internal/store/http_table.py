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

"""HTTP client of the table service."""

import typing

import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.http.json_client import JsonClient
from lifttrestle.internal.store.row import Row
from lifttrestle.internal.store.row import Transaction
from lifttrestle.internal.store.table import TableService

T = typing.TypeVar('T')
OK = 200
CONFLICT = 409


class ReadAnswer(msgspec.Struct, frozen=True):
    """Answer to a read or a scan: the rows that were found."""

    rows: tuple[Row, ...]


class CommitAnswer(msgspec.Struct, frozen=True):
    """Answer to a transaction that was committed: the commit number."""

    commit: int


class ConflictAnswer(msgspec.Struct, frozen=True):
    """Answer to a rejected transaction: the keys whose checks failed."""

    failed: tuple[str, ...]


class HttpTable(TableService):
    """Calls ``/v1/read``, ``/v1/scan`` and ``/v1/transact``."""

    def __init__(self, client: JsonClient) -> None:
        self._client = client

    async def read(self, keys: tuple[str, ...]) -> dict[str, Row]:
        """Return the rows that exist among ``keys``, as of one commit."""
        body = await self._call('/v1/read', {'keys': keys})
        answer = _decode(body, ReadAnswer)
        return {row.key: row for row in answer.rows}

    async def scan(self, prefix: str) -> list[Row]:
        """Return every row whose key begins with ``prefix``, in order."""
        body = await self._call('/v1/scan', {'prefix': prefix})
        return list(_decode(body, ReadAnswer).rows)

    async def transact(self, transaction: Transaction) -> int:
        """Apply the writes if all checks hold; return the commit number.

        :raises ConditionFailed: with the keys whose checks failed.
        """
        body = await self._call('/v1/transact', transaction)
        return _decode(body, CommitAnswer).commit

    async def _call(self, target: str, content: object) -> bytes:
        answer = await self._client.call('POST', target, content)
        if answer.status == CONFLICT:
            failed = _decode(answer.body, ConflictAnswer).failed
            raise ConditionFailed(failed)
        if answer.status != OK:
            raise PlatformUnavailable(
                f'the table service answered {answer.status} to {target}'
            )
        return answer.body


def _decode(body: bytes, model: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=model)
    except msgspec.MsgspecError as error:
        raise PlatformUnavailable(
            f'the answer of the table service is malformed: {error}'
        ) from error
