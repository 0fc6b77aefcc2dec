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

"""Interface between the exchange of news and the parts that use it."""

import abc
import dataclasses

from lifttrestle.internal.fleet.news.messages import EngineNews
from lifttrestle.internal.fleet.news.messages import HeldEntry
from lifttrestle.internal.fleet.news.messages import SpeedEntry
from lifttrestle.internal.fleet.news.messages import UseEntry

# News that was not replaced for three of its longest periods does not count.
MAX_NEWS_SECONDS = 3.0


@dataclasses.dataclass
class NewsDraft:
    """Entries of a message that is being built."""

    held: list[HeldEntry] = dataclasses.field(default_factory=list)
    speeds: list[SpeedEntry] = dataclasses.field(default_factory=list)
    uses: list[UseEntry] = dataclasses.field(default_factory=list)

    def build(self) -> EngineNews:
        """Return the news with these entries."""
        return EngineNews(self.held, self.speeds, self.uses)


class NewsSource(abc.ABC):
    """A part of the router that shares its state with the other routers."""

    @abc.abstractmethod
    def add_news(self, draft: NewsDraft, now: float) -> None:
        """Append the entries of this router.

        :param now: monotonic time in seconds.
        """

    @abc.abstractmethod
    def apply_news(self, others: EngineNews, now: float) -> None:
        """Apply the merged news of all other routers.

        It replaces the news applied before.

        :param now: monotonic time in seconds.
        """
