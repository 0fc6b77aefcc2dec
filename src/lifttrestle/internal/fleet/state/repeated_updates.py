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

"""Sends updates of records to other routers, each one several times.

Datagrams may be lost. An update has the state of its record at sending time,
so that a repetition may replace an earlier one.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Hashable
from typing import Generic
from typing import TypeVar

Key = TypeVar('Key', bound=Hashable)
RESEND_SECONDS = 0.4
# Maximum number of records with pending updates.
MAX_PENDING = 2048


class RepeatedUpdates(Generic[Key]):
    """Updates that are yet to be sent, by what names their record.

    :param list_receivers: returns the keys of the routers to send a record
        to.
    :param send_records: sends some records to one router.
    :param send_count: number of transmissions of each update.
    :param max_items: maximum number of records in one message.
    """

    def __init__(
        self,
        list_receivers: Callable[[Key], list[str]],
        send_records: Callable[[list[Key], str], None],
        send_count: int,
        max_items: int,
    ) -> None:
        self._list_receivers = list_receivers
        self._send_records = send_records
        self._send_count = send_count
        self._max_items = max_items
        # Record -> transmissions that remain.
        self._pending: dict[Key, int] = {}
        self._has_pending = asyncio.Event()
        self._has_new = asyncio.Event()

    def queue(self, record: Key) -> None:
        """Queue an update, to be sent in the next iteration of the loop."""
        if record in self._pending or len(self._pending) < MAX_PENDING:
            self._pending[record] = self._send_count
            self._has_pending.set()
            self._has_new.set()

    def send_now(self, record: Key) -> None:
        """Send an update before this call returns; repeat it later."""
        for key in self._list_receivers(record):
            self._send_records([record], key)
        if len(self._pending) < MAX_PENDING:
            self._pending[record] = self._send_count - 1
            self._has_pending.set()

    async def run(self) -> None:
        """Send pending updates until cancelled."""
        while True:
            await self._has_pending.wait()
            try:
                async with asyncio.timeout(RESEND_SECONDS):
                    await self._has_new.wait()
            except TimeoutError:
                pass
            # Batches the records that are queued together.
            await asyncio.sleep(0)
            self._has_new.clear()
            self.send_pending()
            if not self._pending:
                self._has_pending.clear()

    def send_pending(self) -> None:
        """Send each pending update once."""
        by_receiver: dict[str, list[Key]] = {}
        for record in self._pending:
            for key in self._list_receivers(record):
                by_receiver.setdefault(key, []).append(record)
        for key, records in by_receiver.items():
            for first in range(0, len(records), self._max_items):
                part = records[first : first + self._max_items]
                self._send_records(part, key)
        self._pending = {
            record: remaining - 1
            for record, remaining in self._pending.items()
            if remaining > 1
        }
