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

"""Exchange of news between routers.

Each router sends the entries of its sources once per period: in a small fleet
to all other routers, in a large one to the aggregator of its data centre,
which returns the merged news of the fleet. While no service has large slots,
nothing is sent and received news is ignored.
"""

from collections.abc import Callable
from collections.abc import Iterable

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.news.aggregation import NewsAggregator
from lifttrestle.internal.fleet.news.merging import count_entries
from lifttrestle.internal.fleet.news.merging import limit_message_news
from lifttrestle.internal.fleet.news.merging import merge_news
from lifttrestle.internal.fleet.news.merging import subtract_news
from lifttrestle.internal.fleet.news.messages import EngineNews
from lifttrestle.internal.fleet.news.messages import FleetNews
from lifttrestle.internal.fleet.news.messages import GroupNews
from lifttrestle.internal.fleet.news.messages import NewsMessage
from lifttrestle.internal.fleet.news.messages import NewsReport
from lifttrestle.internal.fleet.news.received import ReceivedNews
from lifttrestle.internal.fleet.news.source import NewsDraft
from lifttrestle.internal.fleet.news.source import NewsSource
from lifttrestle.internal.fleet.policy.load_exchange import uses_aggregation
from lifttrestle.internal.fleet.policy.news_handover import Handover
from lifttrestle.internal.fleet.policy.news_pacing import compute_news_pace
from lifttrestle.internal.fleet.policy.news_pacing import NewsPace
from lifttrestle.internal.fleet.state.aggregator_choice import AggregatorChoice
from lifttrestle.internal.fleet.state.catalogue import Catalogue
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.roster import ROUTER_PREFIX
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.telemetry.event_log import get_event_log
from lifttrestle.internal.telemetry.fleet_metrics import FleetMetrics

LOG = get_event_log('news')
NO_NEWS = EngineNews()
# Own reports that are kept because received news may still include them. News
# is valid for three periods.
MAX_OWN_REPORTS = 16
Send = Callable[[NewsMessage, str], None]
Subscribe = Callable[[type, Callable[..., None]], None]


class PeerNews:
    """Sends the news of this router's sources and applies that of others.

    :param choice: names the aggregator of this router. ``PeerLoads`` detects
        its failure.
    :param upstreams: the known upstreams, with their loads.
    :param sources: parts of the router that share their state.
    :param get_catalogue: returns the configuration in force, or None.
    """

    def __init__(
        self,
        vm: str,
        roster: Roster,
        choice: AggregatorChoice,
        clock: Clock,
        upstreams: Iterable[FleetUpstream],
        sources: list[NewsSource],
        get_catalogue: Callable[[], Catalogue | None],
        metrics: FleetMetrics,
    ) -> None:
        self._vm = vm
        self._roster = roster
        self._choice = choice
        self._clock = clock
        self._upstreams = upstreams
        self._sources = sources
        self._get_catalogue = get_catalogue
        self._metrics = metrics
        self._number = 0
        self._handover = Handover()
        # What received news may include of this router, by the number of the
        # report that it names.
        self._own_reports: dict[int, EngineNews] = {}
        self._own_news = NO_NEWS
        self._peers = ReceivedNews()
        self._fleet = ReceivedNews()
        self._aggregator = NewsAggregator(vm, self._send)
        # Monotonic time of the last news of others, None without valid news.
        self._received_at: float | None = None
        self._entries = 0
        self._has_news = False
        self._was_enabled = False
        self._omits = False
        self._send_datagram: Send = lambda message, key: None

    def connect(self, subscribe: Subscribe, send: Send) -> None:
        """Exchange messages with the other routers.

        :param subscribe: registers the handler of a message type.
        :param send: sends a message to the router with a key.
        """
        subscribe(NewsReport, self.handle_report)
        subscribe(GroupNews, self.handle_group)
        subscribe(FleetNews, self.handle_fleet)
        self._send_datagram = send

    @property
    def age_seconds(self) -> float:
        """Return the age of the last news of others, -1 without any."""
        if self._received_at is None:
            return -1.0
        return self._clock.monotonic() - self._received_at

    @property
    def entries(self) -> int:
        """Return the number of entries of other routers in use."""
        return self._entries

    async def run(self, ticker: Ticker) -> None:
        """Exchange news once per period, until cancelled."""
        while True:
            await ticker.wait(self.get_pace().period_seconds)
            self.exchange()

    def get_pace(self) -> NewsPace:
        """Return the timing and limits for the present fleet."""
        live = self._roster.live
        group = live
        if uses_aggregation(live):
            remote = self._choice.count_remote_routers().values()
            group = max(self._choice.count_neighbours(), *remote, 1)
        return compute_news_pace(live, group)

    def exchange(self) -> None:
        """Send the news of this router, and apply that of the others."""
        if not self._is_enabled():
            self._disable()
            return
        self._was_enabled = True
        now = self._clock.monotonic()
        pace = self.get_pace()
        draft = NewsDraft()
        for source in self._sources:
            source.add_news(draft, now)
        self._number += 1
        self._peers.expire(now, pace.fresh_seconds)
        self._fleet.expire(now, pace.fresh_seconds)
        limit = pace.get_report_limit(
            self._roster.live, self._get_load_share()
        )
        news = self._limit(draft.build(), limit)
        if uses_aggregation(self._roster.live):
            self._report_to_aggregator(news, now, pace)
            self._aggregator.exchange(
                now, pace, self._choice.list_candidates(), self._roster.key
            )
            if not self._fleet.list_news():
                self._apply([], now)
        else:
            report = NewsReport(self._vm, self._number, news)
            for key in self._roster.list_others():
                self._send(report, key)
            self._apply(self._peers.list_news(), now)

    def handle_report(self, report: NewsReport) -> None:
        """Keep the news of another router."""
        if not self._is_enabled():
            return
        now = self._clock.monotonic()
        if report.for_aggregator:
            kept = self._aggregator.handle_report(report, now)
        else:
            kept = self._peers.update(
                report.vm, report.number, report.news, now
            )
        self._note_received(report, kept)
        if kept and not report.for_aggregator:
            self._received_at = now

    def handle_group(self, group: GroupNews) -> None:
        """Keep the news of the routers that report to another aggregator."""
        if self._is_enabled():
            now = self._clock.monotonic()
            kept = self._aggregator.handle_group(group, now)
            self._note_received(group, kept)

    def handle_fleet(self, fleet: FleetNews) -> None:
        """Apply the news of the fleet if it is from the chosen aggregator."""
        if not self._is_enabled() or not uses_aggregation(self._roster.live):
            return
        now = self._clock.monotonic()
        kept = self._choice.choose() == f'{ROUTER_PREFIX}{fleet.vm}'
        if kept:
            own = self._own_reports.get(fleet.included, NO_NEWS)
            others = subtract_news(fleet.news, own)
            self._handover.note_answer(now)
            kept = self._fleet.update(fleet.vm, fleet.number, others, now)
        self._note_received(fleet, kept)
        if kept:
            self._received_at = now
            self._apply([others], now)

    def _is_enabled(self) -> bool:
        catalogue = self._get_catalogue()
        return catalogue is not None and catalogue.has_large_slots

    def _disable(self) -> None:
        """Forget all news once no service has large slots any more."""
        if not self._was_enabled:
            return
        self._was_enabled = False
        self._peers.clear()
        self._fleet.clear()
        self._aggregator.clear()
        self._apply([], self._clock.monotonic())

    def _report_to_aggregator(
        self, news: EngineNews, now: float, pace: NewsPace
    ) -> None:
        """Report to the aggregator, which sends the news of the fleet.

        During a handover the report is empty. The received news may then
        still include the last report to the former aggregator.
        """
        key = self._choice.choose()
        if self._handover.may_send(key, now, pace):
            self._own_news = news
        else:
            news = NO_NEWS
            if not self._handover.is_known(now, pace):
                self._own_news = NO_NEWS
        self._own_reports[self._number] = self._own_news
        self._own_reports.pop(self._number - MAX_OWN_REPORTS, None)
        self._send(NewsReport(self._vm, self._number, news, True), key)

    def _get_load_share(self) -> float:
        """Return the part of the fleet's requests that this router sent."""
        own = sum(upstream.in_flight for upstream in self._upstreams)
        peers = sum(upstream.peers_in_flight for upstream in self._upstreams)
        if not own + peers:
            return 1.0 / self._roster.live
        return own / (own + peers)

    def _limit(self, news: EngineNews, max_bytes: int) -> EngineNews:
        limited = limit_message_news(news, self._vm, max_bytes)
        omitted = count_entries(news) - count_entries(limited)
        if omitted and not self._omits:
            LOG.info('news.entries_omitted', count=omitted, bytes=max_bytes)
        self._omits = bool(omitted)
        return limited

    def _send(self, message: NewsMessage, key: str) -> None:
        """Send a message; one to this router itself is handled at once."""
        if key != self._roster.key:
            self._metrics.count_news(_get_kind(message), 'sent')
            self._send_datagram(message, key)
        elif isinstance(message, NewsReport):
            self.handle_report(message)
        elif isinstance(message, FleetNews):
            self.handle_fleet(message)

    def _note_received(self, message: NewsMessage, kept: bool) -> None:
        if message.vm != self._vm:
            result = 'applied' if kept else 'outdated'
            self._metrics.count_news(_get_kind(message), result)

    def _apply(self, news: list[EngineNews], now: float) -> None:
        """Pass the news of other routers to the sources."""
        others = merge_news(news)
        self._entries = count_entries(others)
        if not news and self._received_at is not None:
            self._received_at = None
            LOG.warning('news.expired')
        elif news and not self._has_news:
            LOG.info('news.received', entries=self._entries)
        self._has_news = bool(news)
        for source in self._sources:
            source.apply_news(others, now)


def _get_kind(message: NewsMessage) -> str:
    kinds = {NewsReport: 'report', GroupNews: 'group', FleetNews: 'fleet'}
    return kinds[type(message)]
