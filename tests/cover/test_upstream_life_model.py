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

"""A model of the states of an upstream in a router.

| state | entered when | gets work |
|---|---|---|
| ready | its entry is listed | yes |
| draining | its entry is marked so | no, and never again |
| expired | its entry is removed around a store outage | for 1.8 s |
| restored | its entry returns | yes |
| removed | its entry is removed otherwise, or does not return | no |
| misdirected | another start answers at its address | no, until removed |
| failing | three requests in a row fail | if no other is left |
"""

import unittest

from hypothesis import stateful
from hypothesis import strategies as st
import msgspec

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.policy.engine_costs import PlacementContext
from lifttrestle.internal.fleet.policy.placement import choose_plain
from lifttrestle.internal.fleet.state.directory import OUTAGE_GRACE_SECONDS
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.platform.stored_format import PlatformFormat
from lifttrestle.internal.upstream.breaker import Breaker
from tests.support.directories import START
from tests.support.entries import make_entry
from tests.support.models import run_model

NAMES = ('i-1', 'i-2', 'i-3')
NAME = st.sampled_from(NAMES)


class NoChance:
    """A random source that always returns zero."""

    def random(self):
        return 0.0


class LifeMachine(stateful.RuleBasedStateMachine):
    directory_class = UpstreamDirectory
    breaker_class = Breaker

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(START)
        self.clock.advance(100.0)
        self.directory = self.directory_class(PlatformFormat(), self.clock)
        self.commit = 0
        self.outage_ended = float('-inf')
        # What an observer of the list would say of each start.
        self.listed = {}
        self.removed_at = {}
        self.misdirected = set()
        self.failures = dict.fromkeys(NAMES, 0)

    def take(self, name, entry):
        self.commit += 1
        value = None if entry is None else msgspec.json.encode(entry)
        self.directory.apply_row(VersionedRow(name, value, self.commit))

    @stateful.rule(name=NAME, draining=st.booleans())
    def list_entry(self, name, draining):
        if self.directory.get(name) is None:
            # It was forgotten: whatever is listed now is found out anew.
            self.misdirected.discard(name)
            self.failures[name] = 0
        if self.listed.get(name) == 'draining':
            draining = True
        state = 'draining' if draining else 'ready'
        self.listed[name] = state
        self.removed_at.pop(name, None)
        entry = make_entry(state=state)
        self.take(name, entry)
        self.give_breaker(name)

    def give_breaker(self, name):
        upstream = self.directory.get(name)
        if type(upstream.breaker) is not self.breaker_class:
            upstream.breaker = self.breaker_class()

    @stateful.rule(name=NAME)
    def remove_entry(self, name):
        if name in self.listed and name not in self.removed_at:
            self.removed_at[name] = self.clock.monotonic()
            self.take(name, None)

    @stateful.rule()
    def end_outage(self):
        self.outage_ended = self.clock.monotonic()
        self.directory.outage_until = self.outage_ended

    @stateful.rule(seconds=st.sampled_from((0.1, 0.4, 1.0, 2.5)))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @stateful.rule(name=NAME)
    def find_another_start(self, name):
        upstream = self.directory.get(name)
        if upstream is not None:
            upstream.misdirected = True
            self.misdirected.add(name)

    @stateful.rule(name=NAME, count=st.integers(1, 4))
    def fail(self, name, count):
        upstream = self.directory.get(name)
        for _ in range(count):
            if upstream is not None:
                upstream.breaker.note_failure(self.clock.monotonic())
                self.failures[name] += 1

    @stateful.rule(name=NAME)
    def succeed(self, name):
        upstream = self.directory.get(name)
        if upstream is not None:
            upstream.breaker.note_success()
        self.failures[name] = 0

    def list_fit(self):
        return {item.instance for item in self.directory.list_available('s')}

    @stateful.invariant()
    def only_those_that_may_have_work_get_it(self):
        now = self.clock.monotonic()
        for name in self.list_fit():
            assert self.listed[name] == 'ready', name
            assert name not in self.misdirected, name
            if name in self.removed_at:
                since = now - self.outage_ended
                assert since <= OUTAGE_GRACE_SECONDS, (name, since)

    @stateful.invariant()
    def those_that_are_listed_get_work(self):
        fit = self.list_fit()
        for name, state in self.listed.items():
            present = name not in self.removed_at
            if present and state == 'ready' and name not in self.misdirected:
                assert name in fit, name

    @stateful.invariant()
    def sound_ones_go_before_those_that_fail(self):
        fit = self.directory.list_available('s')
        sound = [item for item in fit if not self.failures[item.instance]]
        around = PlacementContext(self.clock.monotonic(), 'a', 0)
        placement = choose_plain(fit, around, NoChance())
        if placement is not None and sound:
            name = placement.upstream.instance
            failed = self.failures[name]
            state = placement.upstream.breaker.state.value
            assert failed < 3 or state == 'half open', (name, failed, state)


class NeverExpiringDirectory(UpstreamDirectory):
    """Planted fault: each removed entry counts as expired in an outage."""

    def _may_return(self, upstream):
        return not upstream.entry.draining


class DrainingIgnoredDirectory(UpstreamDirectory):
    """Planted fault: draining entries count as ready."""

    def list_available(self, service):
        self._remove_expired()
        return [item for item in self if not item.misdirected]


class FailuresIgnoredBreaker(Breaker):
    """Planted fault: failures are not counted."""

    def note_failure(self, now):
        self._failures = 0
        super().note_failure(now)


def run_machine(**fields):
    run_model(type('Machine', (LifeMachine,), fields))


class TestLife(unittest.TestCase):
    def test_requests_go_to_exactly_the_available_upstreams(self):
        run_machine()

    def test_model_finds_removed_entry_that_never_expires(self):
        with self.assertRaises(AssertionError):
            run_machine(directory_class=NeverExpiringDirectory)

    def test_model_finds_draining_upstream_that_gets_requests(self):
        with self.assertRaises(AssertionError):
            run_machine(directory_class=DrainingIgnoredDirectory)

    def test_model_finds_failures_that_are_not_counted(self):
        with self.assertRaises(AssertionError):
            run_machine(breaker_class=FailuresIgnoredBreaker)
