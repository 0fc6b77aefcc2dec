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

"""The newest news of each sender while it is valid."""

import dataclasses

from lifttrestle.internal.fleet.news.messages import EngineNews

# A message whose number is lower by at most this is late, by up to 8 s at a
# period of 1 s. A larger decrease means that the sender has restarted and
# begins at one again.
MAX_LATE_MESSAGES = 8


@dataclasses.dataclass(frozen=True)
class ReceivedItem:
    """The last news of a sender and the monotonic time of its arrival."""

    number: int
    news: EngineNews
    received_at: float


class ReceivedNews:
    """Keeps the newest news of each sender."""

    def __init__(self) -> None:
        self._items: dict[str, ReceivedItem] = {}

    def update(
        self, vm: str, number: int, news: EngineNews, now: float
    ) -> bool:
        """Keep news unless it is repeated or late; return whether it is."""
        previous = self._items.get(vm)
        if previous is not None:
            decrease = previous.number - number
            if 0 <= decrease <= MAX_LATE_MESSAGES:
                return False
        self._items[vm] = ReceivedItem(number, news, now)
        return True

    def expire(self, now: float, fresh_seconds: float) -> None:
        """Remove the news of senders that are silent for too long."""
        self._items = {
            vm: item
            for vm, item in self._items.items()
            if now - item.received_at <= fresh_seconds
        }

    def clear(self) -> None:
        """Remove all news."""
        self._items = {}

    def list_news(self) -> list[EngineNews]:
        """Return the news of all senders."""
        return [item.news for item in self._items.values()]

    def list_numbers(self) -> dict[str, int]:
        """Return the number of the kept message of each sender."""
        return {vm: item.number for vm, item in self._items.items()}
