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

"""Merges the news of the routers that report to this one."""

from collections.abc import Callable
from collections.abc import Iterable

from lifttrestle.internal.fleet.news.merging import limit_message_news
from lifttrestle.internal.fleet.news.merging import merge_news
from lifttrestle.internal.fleet.news.messages import FleetNews
from lifttrestle.internal.fleet.news.messages import GroupNews
from lifttrestle.internal.fleet.news.messages import NewsMessage
from lifttrestle.internal.fleet.news.messages import NewsReport
from lifttrestle.internal.fleet.news.received import ReceivedNews
from lifttrestle.internal.fleet.policy.news_pacing import NewsPace
from lifttrestle.internal.fleet.state.roster import ROUTER_PREFIX


class NewsAggregator:
    """Sends the news of a group to other aggregators, and all to members.

    :param vm: VM of this router.
    :param send: sends a message to the router with a key.
    """

    def __init__(
        self, vm: str, send: Callable[[NewsMessage, str], None]
    ) -> None:
        self._vm = vm
        self._send = send
        self._number = 0
        self._members = ReceivedNews()
        self._groups = ReceivedNews()
        # Monotonic time until which an empty group is sent. Otherwise the
        # other aggregators would use its last news until it expires.
        self._active_until = float('-inf')

    def handle_report(self, report: NewsReport, now: float) -> bool:
        """Keep the report of a member; return whether it is newer."""
        return self._members.update(report.vm, report.number, report.news, now)

    def handle_group(self, group: GroupNews, now: float) -> bool:
        """Keep the news of another group; return whether it is newer."""
        return self._groups.update(group.vm, group.number, group.news, now)

    def clear(self) -> None:
        """Forget all news."""
        self._members.clear()
        self._groups.clear()

    def exchange(
        self, now: float, pace: NewsPace, candidates: Iterable[str], own: str
    ) -> None:
        """Send the news of the group and of the fleet, once per period.

        :param candidates: keys of the routers that may be aggregators.
        :param own: key of this router.
        """
        self._members.expire(now, pace.fresh_seconds)
        self._groups.expire(now, pace.fresh_seconds)
        members = self._members.list_numbers()
        if members:
            self._active_until = now + pace.fresh_seconds
        if now > self._active_until:
            return
        self._number += 1
        group = merge_news(self._members.list_news())
        groups = [f'{ROUTER_PREFIX}{vm}' for vm in self._groups.list_numbers()]
        others = {*groups, *candidates} - {own}
        limit = pace.get_group_limit(len(groups) + 1, len(others))
        limited = limit_message_news(group, self._vm, limit)
        message = GroupNews(self._vm, self._number, limited)
        for key in sorted(others):
            self._send(message, key)
        fleet = limit_message_news(
            merge_news([group, *self._groups.list_news()]),
            self._vm,
            pace.fleet_bytes,
        )
        for vm, number in members.items():
            self._send(
                FleetNews(self._vm, self._number, number, fleet),
                f'{ROUTER_PREFIX}{vm}',
            )
