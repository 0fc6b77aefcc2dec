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

"""The platform's store, behind the fleet's interface."""

import base64
import binascii
import urllib.parse

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import HistoryGone
from lifttrestle.errors import InputRefused
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.fleet.state.rows import RowChanges
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.rows import RowWrite
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.json_client import JsonClient
from lifttrestle.internal.intake.decoding import decode_json
from lifttrestle.internal.platform import names
from lifttrestle.internal.platform.records import RowRecord
from lifttrestle.internal.platform.records import RowsRecord
from lifttrestle.internal.platform.store_epoch import read_epoch
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('store')
MILLISECONDS = 1000
STATUS_OK = 200
STATUS_GONE = 410
STATUS_CONDITION = 412
# Sorts right after a key: a page goes on from there.
AFTER_KEY = '\0'


class PlatformRowStore(RowStore):
    """Calls the store; each call has its time limit.

    :param client: for one call after the other on kept connections.
    """

    def __init__(self, client: JsonClient) -> None:
        self._client = client
        self._reported_epoch: int | None = None

    async def read_table(self, table: str) -> RowChanges:
        """Return every row of a table, over as many pages as it takes.

        The version is that of the first page: what changes between pages is
        told again by the watch that starts there.
        """
        first_version = 0
        rows: list[VersionedRow] = []
        start = ''
        while True:
            page = await self._read_page(table, start)
            first_version = first_version or page.ver
            rows.extend(_read_row(item) for item in page.rows)
            if not page.more_pages or not page.rows:
                return RowChanges(tuple(rows), first_version)
            start = page.rows[-1].key + AFTER_KEY

    async def _read_page(self, table: str, start: str) -> RowsRecord:
        query = {'table': table, 'part': ''}
        if start:
            query['from'] = start
        answer = await self._call('GET', names.READ_ROWS, query)
        return _decode_rows(answer)

    async def watch_table(
        self, table: str, after: int, wait_seconds: float
    ) -> RowChanges:
        """Return the changes since commit ``after``."""
        query = {
            'table': table,
            'after': str(after),
            'wait_ms': str(int(wait_seconds * MILLISECONDS)),
        }
        answer = await self._call('GET', names.WATCH_ROWS, query, wait_seconds)
        if answer.status == STATUS_GONE:
            raise HistoryGone(
                f'the changes of table {table!r} since {after} are dropped;'
                ' read the table again'
            )
        page = _decode_rows(answer)
        return RowChanges(
            tuple(_read_row(item) for item in page.rows), page.ver
        )

    async def write_row(self, write: RowWrite) -> int:
        """Write one row and return the commit's number."""
        row = {'table': write.table, 'part': '', 'key': write.key}
        content: dict[str, object] = {
            'expected': [{**row, 'ver': write.expected_version}],
            'put': [],
            'remove': [],
        }
        if write.value is None:
            content['remove'] = [row]
        else:
            text = base64.b64encode(write.value).decode('ascii')
            content['put'] = [{**row, 'value': text}]
        answer = await self._call('POST', names.COMMIT, {}, 0.0, content)
        if answer.status == STATUS_CONDITION:
            raise ConditionFailed((write.key,))
        return _decode_rows(answer).ver

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        wait_seconds: float = 0.0,
        content: object = None,
    ) -> Answer:
        target = f'{path}?{urllib.parse.urlencode(query)}' if query else path
        headers: tuple[tuple[str, str], ...] = ()
        if content is not None:
            headers = (('content-type', 'application/json'),)
        answer = await self._client.call(
            method, target, content, headers, extra_seconds=wait_seconds
        )
        self._update_epoch(answer, path)
        return answer

    def _update_epoch(self, answer: Answer, path: str) -> None:
        epoch = read_epoch(answer.headers)
        if epoch is None or epoch == self._reported_epoch:
            return
        if self._reported_epoch is not None:
            LOG.warning(
                'store.epoch_changed',
                epoch=epoch,
                before=self._reported_epoch,
                call=path,
            )
        self._reported_epoch = epoch
        self.epoch = epoch

    def close(self) -> None:
        """Close the connections to the store."""
        self._client.close()


def _decode_rows(answer: Answer) -> RowsRecord:
    if answer.status != STATUS_OK:
        raise PlatformUnavailable(f'the store answered {answer.status}')
    try:
        return decode_json(answer.body, RowsRecord)
    except InputRefused as error:
        raise PlatformUnavailable(
            f'the store gave an unreadable answer: {error}'
        ) from error


def _read_row(record: RowRecord) -> VersionedRow:
    if record.tombstone or record.value is None:
        return VersionedRow(record.key, None, record.ver)
    try:
        value = base64.b64decode(record.value)
    except binascii.Error as error:
        # Its reader refuses a value without bytes; the other rows hold.
        LOG.error('store.row_not_base64', key=record.key, reason=str(error))
        value = b''
    return VersionedRow(record.key, value, record.ver)
