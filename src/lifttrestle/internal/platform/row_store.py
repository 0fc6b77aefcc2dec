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

"""Implements the fleet's shared tables with the platform's store."""

import base64
from collections.abc import Sequence
import urllib.parse

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import HistoryGone
from lifttrestle.errors import InputRefused
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.fleet.state.row_version import build_version
from lifttrestle.internal.fleet.state.row_version import format_version
from lifttrestle.internal.fleet.state.row_version import get_commit_number
from lifttrestle.internal.fleet.state.row_version import get_epoch
from lifttrestle.internal.fleet.state.row_version import MAX_COMMIT_NUMBER
from lifttrestle.internal.fleet.state.rows import NO_ROW
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
# A read takes this much longer than another call before it is given up. Its
# answer confirms what was read before for as long as keys are trusted, 3 s.
LATE_READ_SECONDS = 2.2
STATUS_OK = 200
STATUS_GONE = 410
STATUS_CONDITION_FAILED = 412
# Statuses that the store itself returns; others may come from a proxy.
STORE_STATUSES = frozenset((STATUS_OK, STATUS_GONE, STATUS_CONDITION_FAILED))
# A key with this suffix sorts directly after the key itself, so that the next
# page starts there.
NEXT_KEY_SUFFIX = '\0'


class PlatformRowStore(RowStore):
    """Sends calls to the store; each call has a time limit.

    The versions that it returns include the epoch that the answer reports.

    :param client: sends sequential calls over persistent connections.
    """

    def __init__(self, client: JsonClient) -> None:
        self._client = client
        self._reports_epoch = False

    async def read_table(self, table: str) -> RowChanges:
        """Return every row of a table, read in as many pages as needed.

        The version is that of the first page, so that a watch from there
        reports again what changes between pages.

        :raises PlatformUnavailable: if the store gives no valid answer, or is
            restored while the table is read.
        """
        first_version = NO_ROW
        rows: list[VersionedRow] = []
        start = ''
        while True:
            answer = await self._read_page(table, start)
            epoch = self._update_epoch(answer)
            page = _decode_rows(answer)
            version = _build_version(epoch, page.ver)
            first_version = first_version or version
            if epoch != get_epoch(first_version):
                raise PlatformUnavailable(
                    'the store was restored from an older copy while the'
                    f' table {table!r} was read; read it again'
                )
            rows.extend(_read_row(item, epoch) for item in page.rows)
            if not page.more_pages or not page.rows:
                return RowChanges(tuple(rows), first_version)
            start = page.rows[-1].key + NEXT_KEY_SUFFIX

    async def _read_page(self, table: str, start: str) -> Answer:
        query = {'table': table, 'part': ''}
        if start:
            query['from'] = start
        return await self._call(
            'GET', names.READ_ROWS_PATH, query, LATE_READ_SECONDS
        )

    async def watch_table(
        self, table: str, after: int, wait_seconds: float
    ) -> RowChanges:
        """Return the changes since commit ``after``.

        :raises HistoryGone: if the store no longer holds those changes, or
            has been restored since.
        """
        self._check_not_restored(table, after)
        query = {
            'table': table,
            'after': str(get_commit_number(after)),
            'wait_ms': str(int(wait_seconds * MILLISECONDS)),
        }
        answer = await self._call(
            'GET',
            names.WATCH_ROWS_PATH,
            query,
            wait_seconds + LATE_READ_SECONDS,
        )
        epoch = self._update_epoch(answer)
        self._check_not_restored(table, after)
        if answer.status == STATUS_GONE:
            raise HistoryGone(
                f'the store no longer holds the changes of table {table!r}'
                f' since {format_version(after)}; read the table again'
            )
        if epoch < get_epoch(after):
            raise PlatformUnavailable(
                f'the store reported epoch {epoch}, which is older than'
                f' version {format_version(after)}'
            )
        page = _decode_rows(answer)
        return RowChanges(
            tuple(_read_row(item, epoch) for item in page.rows),
            _build_version(epoch, page.ver),
        )

    def _check_not_restored(self, table: str, after: int) -> None:
        """Check that the store has not been restored since a commit.

        After a restore, the store reuses commit numbers, so the changes since
        ``after`` may omit commits of the current epoch.

        :raises HistoryGone: if the store has been restored.
        """
        if get_epoch(after) < self.epoch:
            raise HistoryGone(
                'the store was restored from an older copy, epoch'
                f' {self.epoch}, after {format_version(after)}; read the table'
                f' {table!r} again'
            )

    async def write_rows(self, writes: Sequence[RowWrite]) -> int:
        """Write rows in one commit and return its version.

        :raises ConditionFailed: if one of the rows has another version.
        """
        keys = tuple(write.key for write in writes)
        epochs = {write.expected_epoch for write in writes} - {None}
        if any(epoch < self.epoch for epoch in epochs if epoch is not None):
            # A different commit may have the same number after a restore.
            raise ConditionFailed(keys)
        content: dict[str, list[object]] = {
            'expected': [],
            'put': [],
            'remove': [],
        }
        for write in writes:
            row = {'table': write.table, 'part': '', 'key': write.key}
            number = get_commit_number(write.expected_version)
            content['expected'].append({**row, 'ver': number})
            if write.value is None:
                content['remove'].append(row)
            else:
                text = base64.b64encode(write.value).decode('ascii')
                content['put'].append({**row, 'value': text})
        answer = await self._call('POST', names.COMMIT_PATH, {}, 0.0, content)
        epoch = self._update_epoch(answer)
        if answer.status == STATUS_CONDITION_FAILED:
            raise ConditionFailed(keys)
        version = _build_version(epoch, _decode_rows(answer).ver)
        if epochs - {epoch}:
            raise PlatformUnavailable(
                f'the write replaced unknown versions of the rows {keys}: the'
                ' store was restored from an older copy meanwhile'
            )
        return version

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        extra_seconds: float = 0.0,
        content: object = None,
    ) -> Answer:
        target = f'{path}?{urllib.parse.urlencode(query)}' if query else path
        headers: tuple[tuple[str, str], ...] = ()
        if content is not None:
            headers = (('content-type', 'application/json'),)
        return await self._client.call(
            method, target, content, headers, extra_seconds=extra_seconds
        )

    def _update_epoch(self, answer: Answer) -> int:
        """Update the epoch from an answer and return it.

        :raises PlatformUnavailable: if the answer reports an earlier epoch
            than a previous answer, or none although a previous answer did.
        """
        epoch = read_epoch(answer.headers)
        if epoch is None:
            if not self._reports_epoch or answer.status not in STORE_STATUSES:
                return self.epoch
            raise PlatformUnavailable(
                f'the store reported no epoch after epoch {self.epoch}'
            )
        if epoch < self.epoch:
            raise PlatformUnavailable(
                f'the store reported epoch {epoch} after epoch {self.epoch}'
            )
        if epoch > self.epoch and self._reports_epoch:
            LOG.warning('store.epoch_changed', epoch=epoch, before=self.epoch)
        self._reports_epoch = True
        self.epoch = epoch
        return epoch

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
            f'the store sent an invalid answer: {error}'
        ) from error


def _build_version(epoch: int, commit_number: int) -> int:
    if not 0 <= commit_number <= MAX_COMMIT_NUMBER:
        raise PlatformUnavailable(
            f'the store sent an invalid commit number {commit_number};'
            f' expected 0 to {MAX_COMMIT_NUMBER}'
        )
    return build_version(epoch, commit_number)


def _read_row(record: RowRecord, epoch: int) -> VersionedRow:
    version = _build_version(epoch, record.ver)
    if record.tombstone or record.value is None:
        return VersionedRow(record.key, None, version)
    try:
        value = base64.b64decode(record.value)
    except ValueError as error:
        # The decoder of the row refuses an empty value; the other rows of
        # the answer remain valid.
        LOG.error('store.row_not_base64', key=record.key, reason=str(error))
        value = b''
    return VersionedRow(record.key, value, version)
