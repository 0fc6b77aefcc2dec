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

"""How often routers send news, how long it is valid and how large it is.

In a large fleet each router sends a report and receives the news of the fleet
once per period, and the aggregators exchange the news of their groups.
"""

import dataclasses

from lifttrestle.internal.fleet.policy.load_exchange import uses_aggregation
from lifttrestle.internal.fleet.policy.report_pacing import compute_period

PERIOD_SECONDS = 0.25
MAX_PERIOD_SECONDS = 1.0
# Reports that all routers of a small fleet together send to each other, per
# second; each takes about 0.1 ms of CPU time at both ends. With four periods a
# second, 31 routers would send 3,700.
MAX_DIRECT_REPORTS_PER_SECOND = 1000
# News is valid for at least this long, and for three periods: two lost
# messages in a row must not make a loaded engine look idle.
FRESH_SECONDS = 1.0
FRESH_PERIODS = 3
# Traffic for each router in a fleet of this size. Smaller fleets send more
# for each router, in inverse proportion to the square of their size: 21 KB/s
# at 76 routers, where a message has room for all news of 45 engines.
REFERENCE_ROUTERS = 350
REFERENCE_BYTES_PER_SECOND = 1000
# Parts of this traffic for the reports, the news of the groups and the news
# of the fleet.
REPORT_SHARE = 0.24
GROUP_SHARE = 0.1
FLEET_SHARE = 0.66
# Upper bound of any news message in bytes; a datagram has at most 8 KiB.
MAX_MESSAGE_BYTES = 6000


@dataclasses.dataclass(frozen=True)
class NewsPace:
    """Timing and limits of the news messages.

    :ivar period_seconds: interval of the messages of a sender.
    :ivar report_bytes: mean of the upper bounds of the ``NewsReport`` of all
        routers.
    :ivar group_bytes: upper bound of the ``GroupNews`` of all aggregators in
        a period, all receivers together.
    :ivar fleet_bytes: upper bound of a ``FleetNews``.
    """

    period_seconds: float
    report_bytes: int
    group_bytes: int
    fleet_bytes: int

    @property
    def fresh_seconds(self) -> float:
        """Return how long the news of a sender is valid."""
        return max(FRESH_SECONDS, FRESH_PERIODS * self.period_seconds)

    @property
    def handover_seconds(self) -> float:
        """Return how long the news of a router is known after its last report.

        The aggregator drops the report after ``fresh_seconds``, and the other
        aggregators learn of it one period later.
        """
        return self.fresh_seconds + self.period_seconds

    def get_report_limit(self, routers: int, load_share: float) -> int:
        """Return the upper bound of the ``NewsReport`` of one router.

        Half of the traffic is divided by load, so that a router that sends
        most of the requests can report all of the engines that it uses. The
        entries of all reports are at most the requests in flight.

        :param load_share: part of the requests in flight in the fleet that
            this router has sent.
        """
        factor = (1.0 + routers * load_share) / 2
        return min(int(self.report_bytes * factor), MAX_MESSAGE_BYTES)

    def get_group_limit(self, aggregators: int, receivers: int) -> int:
        """Return the upper bound of one ``GroupNews`` in bytes.

        :param receivers: number of routers to which each aggregator sends it.
        """
        messages = max(aggregators * receivers, 1)
        return min(self.group_bytes // messages, MAX_MESSAGE_BYTES)


def compute_news_pace(routers: int, largest_group: int) -> NewsPace:
    """Return the timing and limits for a fleet.

    :param routers: number of live routers.
    :param largest_group: number of routers that report to one receiver. It is
        that of the largest data centre, so that all routers have the same
        period and news of no group expires between two messages.
    """
    regular = compute_period(largest_group)
    period = min(max(regular, PERIOD_SECONDS), MAX_PERIOD_SECONDS)
    if not uses_aggregation(routers):
        reports = routers * (routers - 1)
        direct = reports / MAX_DIRECT_REPORTS_PER_SECOND
        period = min(max(period, direct), MAX_PERIOD_SECONDS)
        return NewsPace(period, MAX_MESSAGE_BYTES, 0, 0)
    factor = max(REFERENCE_ROUTERS / routers, 1.0) ** 2
    router_bytes = REFERENCE_BYTES_PER_SECOND * factor * period
    return NewsPace(
        period,
        min(int(router_bytes * REPORT_SHARE), MAX_MESSAGE_BYTES),
        int(router_bytes * GROUP_SHARE * routers),
        min(int(router_bytes * FLEET_SHARE), MAX_MESSAGE_BYTES),
    )
