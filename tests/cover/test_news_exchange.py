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

"""Tests of the news between routers, over a simulated network."""

import random
import types
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
import msgspec

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.news.exchange import PeerNews
from lifttrestle.internal.fleet.news.merging import limit_news
from lifttrestle.internal.fleet.news.merging import merge_news
from lifttrestle.internal.fleet.news.merging import subtract_news
from lifttrestle.internal.fleet.news.messages import EngineNews
from lifttrestle.internal.fleet.news.messages import HeldEntry
from lifttrestle.internal.fleet.news.messages import NewsReport
from lifttrestle.internal.fleet.news.messages import SpeedEntry
from lifttrestle.internal.fleet.news.messages import UseEntry
from lifttrestle.internal.fleet.news.source import NewsSource
from lifttrestle.internal.fleet.state.aggregator_choice import AggregatorChoice
from lifttrestle.internal.fleet.state.load_messages import decode_message
from lifttrestle.internal.fleet.state.load_messages import encode_message
from lifttrestle.internal.fleet.state.peer_datagrams import PeerDatagrams
from lifttrestle.internal.intake.refusals import InputRefusals
from lifttrestle.internal.telemetry.fleet_metrics import FleetMetrics
from tests.support.directories import START

STEP_SECONDS = 0.05
LATENCY_SECONDS = 0.01
# Longer than the handover between aggregators and four periods of 1 s.
SETTLE_SECONDS = 9.0
SIZES = (8, 76, 350)
ENGINE = 7
PART = (99, 13_300)
COUNTS = st.integers(0, 2**53)
KEYS = st.integers(0, 2**32 - 1)


def unique(entries):
    return st.lists(entries, unique_by=lambda entry: entry[0], max_size=9)


ENGINE_NEWS = st.builds(
    lambda held, speeds, uses: EngineNews(
        [HeldEntry(*item) for item in held],
        [SpeedEntry(*item) for item in speeds],
        [UseEntry(*item) for item in uses],
    ),
    unique(st.tuples(KEYS, COUNTS, unique(st.tuples(KEYS, COUNTS)))),
    unique(st.tuples(KEYS, COUNTS, COUNTS)),
    unique(st.tuples(KEYS, COUNTS, COUNTS)),
)


def sum_tokens(news, engine=ENGINE):
    return sum(
        entry.tokens + sum(size for _, size in entry.parts)
        for entry in news.held
        if entry.engine == engine
    )


class FakeSource(NewsSource):
    """Has constant news; records the most and the last tokens of others."""

    def __init__(self, news):
        self.news = news
        self.others = EngineNews()
        self.most = 0

    def add_news(self, draft, now):
        draft.held += self.news.held
        draft.speeds += self.news.speeds
        draft.uses += self.news.uses

    def apply_news(self, others, now):
        self.others = others
        self.most = max(self.most, sum_tokens(others))


class FakeRoster:
    """The routers that a router knows; an address is the key itself."""

    def __init__(self, key, rows):
        self.key = key
        self.rows = rows
        self.changes = 0
        self.data_centre = rows[key]

    live = property(lambda self: len(self.rows))
    routers = property(lambda self: sorted(self.rows))

    def get_address(self, key):
        return key if key in self.rows else ''

    def get_data_centre(self, key):
        return self.rows.get(key, '')

    def list_others(self):
        return [key for key in self.rows if key != self.key]


class Router:
    def __init__(self, fleet, key, rows, news):
        self.roster = FakeRoster(key, rows)
        self.choice = AggregatorChoice(self.roster, fleet.clock)
        self.source = FakeSource(news)
        self.upstreams = []
        self.next_at = fleet.clock.monotonic() + fleet.random.random()
        self.news = PeerNews(
            key.removeprefix('router/'),
            self.roster,
            self.choice,
            fleet.clock,
            self.upstreams,
            [self.source],
            lambda: types.SimpleNamespace(has_large_slots=fleet.enabled),
            mock.Mock(spec=FleetMetrics),
        )
        self.handlers = {}
        self.news.connect(
            self.handlers.__setitem__,
            lambda message, to: fleet.send(key, to, encode_message(message)),
        )


class Fleet:
    """Routers in three data centres that exchange datagrams in memory.

    :ivar is_cut: returns whether a datagram between two routers is lost.
    :ivar delay: returns the seconds to each arrival of a datagram.
    """

    def __init__(self, count, make_news=None):
        self.clock = ManualClock(START)
        self.random = random.Random(count)
        self.enabled = True
        self.sent_bytes = 0
        self.queue = []
        self.is_cut = lambda source, target: False
        self.delay = lambda: (LATENCY_SECONDS,)
        self.rows = {f'router/r{n}': 'abc'[n % 3] for n in range(count)}
        self.routers = {}
        for number, key in enumerate(self.rows):
            news = make_news(number) if make_news else make_held(100 + number)
            self.routers[key] = Router(self, key, self.rows, news)

    def send(self, source, target, data):
        self.sent_bytes += len(data)
        if not self.is_cut(source, target):
            now = self.clock.monotonic()
            self.queue += [
                (now + delay, target, data) for delay in self.delay()
            ]

    def run(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            now = self.clock.monotonic()
            due = sorted(item for item in self.queue if item[0] <= now)
            self.queue = [item for item in self.queue if item[0] > now]
            for _, target, data in due:
                if target in self.routers:
                    message = decode_message(data)
                    self.routers[target].handlers[type(message)](message)
            for key, router in self.routers.items():
                if now >= router.next_at:
                    router.next_at += router.news.get_pace().period_seconds
                    router.news.exchange()
                    self.query(key, router.choice)

    def query(self, key, choice):
        """Query the loads as ``PeerLoads`` does, which detects failures."""
        target = choice.choose()
        choice.note_query()
        if target in self.routers and not self.is_cut(key, target):
            choice.note_answer(target)

    def kill(self, key):
        return self.routers.pop(key)

    def get_total(self, keys=None):
        routers = [self.routers[key] for key in keys or self.routers]
        return sum(item.source.news.held[0].tokens for item in routers)


def make_held(tokens):
    return EngineNews([HeldEntry(ENGINE, tokens, [PART])])


class TestExchange(unittest.TestCase):
    def check_known(self, fleet, keys=None):
        """Check that each router knows what the others hold, and no more."""
        total = fleet.get_total(keys) + PART[1]
        for key in keys or fleet.routers:
            source = fleet.routers[key].source
            own = source.news.held[0].tokens
            self.assertEqual(sum_tokens(source.others), total - own, key)

    def check_never_twice(self, fleet, total):
        """Check that no router ever saw more than the others held."""
        for key, router in fleet.routers.items():
            most = total + PART[1] - router.source.news.held[0].tokens
            self.assertLessEqual(router.source.most, most, key)

    def test_every_router_learns_what_the_live_others_hold(self):
        # The rosters are empty at first, as if all had started at once.
        for count in SIZES:
            with self.subTest(routers=count):
                fleet = Fleet(count)
                for key, router in fleet.routers.items():
                    router.roster.rows = {key: fleet.rows[key]}
                fleet.run(1.0)
                for router in fleet.routers.values():
                    router.roster.rows = fleet.rows
                    router.roster.changes += 1
                fleet.run(4.0)
                self.check_known(fleet)
                self.check_never_twice(fleet, fleet.get_total())
                # The news of a killed router expires; two further periods
                # pass until the aggregators send the others the rest.
                pace = fleet.routers['router/r1'].news.get_pace()
                fleet.kill('router/r5')
                fleet.run(pace.fresh_seconds + 3 * pace.period_seconds)
                self.check_known(fleet)

    def test_large_fleet_sends_at_most_a_kilobyte_per_second_and_router(self):
        # Each router sends to eight of 45 engines, for 16 of 80 workspaces.
        fleet = Fleet(350, make_random_news)
        fleet.run(3.0)
        fleet.sent_bytes = 0
        fleet.run(5.0)
        self.assertLessEqual(fleet.sent_bytes / 350 / 5.0, 1000.0)
        others = fleet.routers['router/r0'].source.others
        self.assertGreater(len(others.held), 20)
        self.assertGreater(len(others.speeds), 10)
        self.assertGreater(len(others.uses), 10)

    def test_router_with_most_of_the_load_reports_all_of_its_engines(self):
        # With the same limit for each router, it reported 20 of 45 engines.
        fleet = Fleet(350)
        router = fleet.routers['router/r9']
        load = types.SimpleNamespace(in_flight=120, peers_in_flight=120)
        router.upstreams.append(load)
        router.source.news = EngineNews(make_full_news().held)
        fleet.run(4.0)
        held = fleet.routers['router/r0'].source.others.held
        self.assertEqual(len(held), 46)

    def test_change_of_aggregator_counts_nothing_twice(self):
        # Its members report to the next one while the other aggregators still
        # know the last news of the killed one.
        for count in SIZES[1:]:
            with self.subTest(routers=count):
                fleet = Fleet(count)
                fleet.run(4.0)
                total = fleet.get_total()
                fleet.kill(fleet.routers['router/r0'].choice.choose())
                fleet.run(SETTLE_SECONDS)
                self.check_known(fleet)
                self.check_never_twice(fleet, total)

    def test_repeated_changes_of_aggregator_count_nothing_twice(self):
        # An aggregator that is cut off from half of its members for a second
        # at a time is avoided for 3 s and then chosen again.
        fleet = Fleet(76)
        fleet.run(SETTLE_SECONDS)
        chosen = fleet.routers['router/r0'].choice.choose()
        half = {f'router/r{number}' for number in range(0, 76, 6)} - {chosen}
        cut = {(chosen, key) for key in half} | {(k, chosen) for k in half}
        for _ in range(4):
            fleet.is_cut = lambda source, target: (source, target) in cut
            fleet.run(1.0)
            fleet.is_cut = lambda source, target: False
            fleet.run(3.5)
        fleet.run(SETTLE_SECONDS)
        self.check_known(fleet)
        self.check_never_twice(fleet, fleet.get_total())

    def test_lost_repeated_late_and_reordered_messages_have_no_effect(self):
        for count in SIZES[:2]:
            with self.subTest(routers=count):
                fleet = Fleet(count)
                delays = (0.01, 0.05, 0.3, 0.6)
                fleet.delay = lambda: fleet.random.choices(
                    delays, k=fleet.random.choice((0, 1, 1, 2))
                )
                fleet.run(SETTLE_SECONDS)
                self.check_never_twice(fleet, fleet.get_total())
                for router in fleet.routers.values():
                    router.source.news = make_held(5)
                fleet.delay = lambda: (LATENCY_SECONDS,)
                fleet.run(3.0)
                self.check_known(fleet)

    def test_each_side_of_a_partition_knows_itself(self):
        for count in SIZES[:2]:
            with self.subTest(routers=count):
                fleet = Fleet(count)
                fleet.run(SETTLE_SECONDS)
                side = {key for key, row in fleet.rows.items() if row == 'c'}
                fleet.is_cut = lambda a, b: (a in side) != (b in side)
                fleet.run(SETTLE_SECONDS)
                self.check_known(fleet, sorted(side))
                self.check_known(fleet, sorted(set(fleet.rows) - side))
                fleet.is_cut = lambda a, b: False
                fleet.run(SETTLE_SECONDS)
                self.check_known(fleet)

    def test_news_of_a_restarted_router_replaces_its_old_one(self):
        # The new process numbers its reports from one.
        for count in SIZES[:2]:
            with self.subTest(routers=count):
                fleet = Fleet(count)
                fleet.run(SETTLE_SECONDS)
                key = 'router/r5'
                router = Router(fleet, key, fleet.rows, make_held(1))
                router.next_at = fleet.clock.monotonic()
                fleet.routers[key] = router
                # The news of the old process has not expired yet.
                fleet.run(0.7)
                self.check_known(fleet)

    def test_late_report_is_dropped_and_repeated_one_is_no_sign_of_life(self):
        fleet = Fleet(2)
        fleet.kill('router/r1')
        router = fleet.routers['router/r0']
        router.next_at = 0.0
        for number, tokens in ((5, 70), (4, 20), (5, 70)):
            router.news.handle_report(
                NewsReport('r1', number, make_held(tokens))
            )
            fleet.run(0.45)
            known = sum_tokens(router.source.others)
        self.assertEqual(known, 0)
        self.assertEqual(router.source.most, 70 + PART[1])
        router.news.handle_report(NewsReport('r1', 6, make_held(7)))
        router.news.handle_report(NewsReport('r1', 5, make_held(70)))
        fleet.run(0.5)
        self.assertEqual(sum_tokens(router.source.others), 7 + PART[1])

    def test_nothing_is_sent_without_large_slots(self):
        fleet = Fleet(8)
        fleet.enabled = False
        fleet.run(2.0)
        self.assertEqual(fleet.sent_bytes, 0)
        news = fleet.routers['router/r0'].news
        self.assertEqual((news.age_seconds, news.entries), (-1.0, 0))
        fleet.enabled = True
        fleet.run(2.0)
        self.check_known(fleet)
        self.assertLess(news.age_seconds, 0.5)
        self.assertEqual(news.entries, 1)
        fleet.enabled = False
        fleet.run(1.0)
        self.assertEqual(fleet.routers['router/r0'].source.others.held, [])

    def test_undecodable_messages_are_counted_and_dropped(self):
        data = encode_message(NewsReport('r1', 1, make_held(5)))
        wrong = [data[:size] for size in range(len(data))]
        wrong.append(msgspec.msgpack.encode([12, 'r1', -1, [[], [], []]]))
        wrong.append(msgspec.msgpack.encode([12, 'r1', 1, [[[-1, 2]]]]))
        faults = []
        refusals = InputRefusals(lambda source, fault: faults.append(source))
        datagrams = PeerDatagrams(mock.Mock(), refusals)
        handle = mock.Mock()
        datagrams.add_handler(NewsReport, handle)
        with self.assertLogs('lifttrestle.intake', 'ERROR'):
            for item in wrong:
                datagrams.datagram_received(item, ('10.0.0.1', 7400))
        self.assertEqual(faults, ['loads'] * len(wrong))
        handle.assert_not_called()


def make_random_news(seed):
    source = random.Random(seed)
    news = make_full_news()
    return EngineNews(
        source.sample(news.held, 8),
        source.sample(news.speeds, 8),
        source.sample(news.uses, 16),
    )


def make_full_news():
    large = 2**31
    return EngineNews(
        [HeldEntry(large + n, 9000, [(large + n, 13_300)]) for n in range(45)],
        [SpeedEntry(large + n, 100 + n, 3) for n in range(45)],
        [UseEntry(large + n, 500, 400) for n in range(80)],
    )


class TestMerging(unittest.TestCase):
    def test_shared_part_counts_once(self):
        merged = merge_news([make_held(100), make_held(20)])
        self.assertEqual(merged, make_held(120))

    def test_lowest_slowdown_is_kept_with_all_samples(self):
        news = [EngineNews([], [SpeedEntry(1, n, 2)]) for n in (300, 120)]
        merged = merge_news(news)
        self.assertEqual(merged.speeds, [SpeedEntry(1, 120, 4)])
        rest = subtract_news(merged, news[0])
        self.assertEqual(rest.speeds, [SpeedEntry(1, 120, 2)])

    def test_least_important_entries_are_left_out(self):
        limited = limit_news(make_full_news(), 650)
        self.assertEqual(limited.speeds[0].slowdown_percent, 144)
        self.assertTrue(all(not entry.parts for entry in limited.held))
        self.assertEqual(sum_tokens(limited, 2**31), 22_300)

    def test_own_part_is_found_in_tokens_of_a_limited_message(self):
        own = make_held(100)
        total = EngineNews([HeldEntry(ENGINE, 160 + PART[1])])
        self.assertEqual(subtract_news(total, own), make_held(60))

    @given(ENGINE_NEWS, ENGINE_NEWS, st.integers(0, 400))
    def test_any_news_gives_a_valid_message_within_its_limit(
        self, first, second, limit
    ):
        merged = merge_news([first, second])
        limited = limit_news(merged, limit)
        lists = (limited.held, limited.speeds, limited.uses)
        size = sum(
            len(encode_message(item)) for part in lists for item in part
        )
        self.assertLessEqual(size, limit)
        for news in (limited, merged, subtract_news(limited, first)):
            message = NewsReport('r1', 1, news)
            self.assertEqual(decode_message(encode_message(message)), message)
