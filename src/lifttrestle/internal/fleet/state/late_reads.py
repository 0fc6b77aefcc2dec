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

"""Reads of a shared table that go on beside later ones."""

import asyncio

from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('watch')


class LateReads:
    """Holds the reads that are late until they end.

    Each applies its answer itself, and ends by the time limit of the store.
    """

    def __init__(self, table: str) -> None:
        self._table = table
        self._reads: set[asyncio.Task[bool]] = set()

    def __len__(self) -> int:
        """Return how many are late."""
        return len(self._reads)

    def add(self, reading: 'asyncio.Task[bool]') -> None:
        """Let a read go on."""
        self._reads.add(reading)
        reading.add_done_callback(self._end)

    async def wait_for_room(self, most: int) -> None:
        """Wait until no more than ``most`` are late."""
        while len(self._reads) > most:
            await asyncio.wait(
                self._reads, return_when=asyncio.FIRST_COMPLETED
            )

    def cancel(self) -> None:
        """Cancel all."""
        for reading in self._reads:
            reading.cancel()

    def _end(self, reading: 'asyncio.Task[bool]') -> None:
        self._reads.discard(reading)
        if not reading.cancelled() and (error := reading.exception()):
            LOG.debug('watch.late', table=self._table, reason=str(error))
