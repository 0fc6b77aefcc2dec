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

"""A stateful model of requests that several routers retry.

Attempts are lost, declined or answered. A router must not report a request as
not run while an upstream may execute it, and the retries of all routers must
stay within a common budget in any window.

| state of a request | reached after | reported execution |
|---|---|---|
| admitted | a route and a key were found; all sends were declined | not run |
| sending | a send that was not declined | unknown |
| first byte | the first byte of an answer | unknown |
| ended | a complete answer | ran |
"""

import unittest

from hypothesis import stateful
from hypothesis import strategies as st

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.exchange.progress import RequestEvent
from lifttrestle.internal.exchange.progress import RequestProgress
from lifttrestle.internal.exchange.progress import RequestState
from lifttrestle.internal.fleet.policy.retry_budget import SharedRetryBudget
from lifttrestle.internal.fleet.policy.router_share import RouterShare
from lifttrestle.internal.fleet.settings import Promises
from lifttrestle.internal.refusal.execution import Execution
from tests.support.directories import START
from tests.support.models import run_model

PROMISES = Promises(retry_slack=12.0)
ROUTERS = 2
WINDOW_SECONDS = PROMISES.retry_window_seconds
ROUTER = st.integers(0, ROUTERS - 1)


class Request:
    """A request with its actual history.

    :ivar may_have_run: sends that the upstream did not decline.
    """

    def __init__(self, progress):
        self.progress = progress
        self.progress.apply(RequestEvent.ADMIT)
        self.sends = 0
        self.in_progress = False
        self.may_have_run = 0


class RetryMachine(stateful.RuleBasedStateMachine):
    budget_class = SharedRetryBudget
    progress_class = RequestProgress

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(START)
        self.clock.advance(100.0)
        self.budgets = [
            self.budget_class(PROMISES, self.clock) for _ in range(ROUTERS)
        ]
        self.open = [[] for _ in range(ROUTERS)]
        # The number of live routers that each router assumes: all that exist,
        # and possibly some that do not.
        self.assumed_routers = [ROUTERS] * ROUTERS
        self.requests = []
        self.retries = []

    @stateful.rule(index=ROUTER, count=st.integers(1, 6))
    def receive(self, index, count):
        for _ in range(count):
            self.budgets[index].note_request()
            self.requests.append(self.clock.monotonic())
            self.open[index].append(Request(self.progress_class()))

    @stateful.rule(index=ROUTER, extra=st.integers(0, 3))
    def count_high(self, index, extra):
        self.assumed_routers[index] = ROUTERS + extra

    @stateful.rule(seconds=st.sampled_from((0.2, 1.0, 5.1, 9.9)))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @stateful.rule(index=ROUTER)
    def send_all(self, index):
        for request in self.open[index]:
            if not request.in_progress:
                self.send(index, request)

    def send(self, index, request):
        if request.sends:
            share = RouterShare(self.assumed_routers[index], index)
            if not self.budgets[index].take([share]):
                return
            self.retries.append(self.clock.monotonic())
        request.sends += 1
        request.in_progress = True
        request.may_have_run += 1
        request.progress.apply(RequestEvent.SEND)

    @stateful.rule(index=ROUTER, declined=st.booleans())
    def fail_one(self, index, declined):
        for request in self.open[index]:
            if request.in_progress:
                request.in_progress = False
                if declined:
                    request.may_have_run -= 1
                    request.progress.apply(RequestEvent.DECLINED)
                return

    @stateful.rule(index=ROUTER)
    def fail_all(self, index):
        for request in self.open[index]:
            request.in_progress = False

    @stateful.rule(rounds=st.integers(1, 9))
    def storm(self, rounds):
        for _ in range(rounds):
            for index in range(ROUTERS):
                self.fail_all(index)
                self.send_all(index)
            self.clock.advance(1.0)

    @stateful.rule(index=ROUTER)
    def answer_one(self, index):
        for request in self.open[index]:
            if request.in_progress:
                request.in_progress = False
                request.progress.apply(RequestEvent.ANSWER)
                request.progress.apply(RequestEvent.END)
                self.open[index].remove(request)
                return

    @stateful.invariant()
    def not_run_is_said_only_when_true(self):
        for requests in self.open:
            for request in requests:
                reported_not_run = (
                    request.progress.execution is Execution.NOT_RUN
                )
                assert not (reported_not_run and request.may_have_run)

    @stateful.invariant()
    def together_they_stay_within_the_budget(self):
        now = self.clock.monotonic()
        retries = [at for at in self.retries if at > now - WINDOW_SECONDS]
        # The budget may count requests of this window or of the previous
        # one.
        requests = max(
            sum(begin - WINDOW_SECONDS < at <= begin for at in self.requests)
            for begin in (now, now - WINDOW_SECONDS / 2, now - WINDOW_SECONDS)
        )
        allowed = PROMISES.retry_share * requests + PROMISES.retry_slack
        assert len(retries) <= allowed, (len(retries), allowed)


class SlackPerRouterBudget(SharedRetryBudget):
    """Injected fault: each router uses the whole slack."""

    def has_room(self, shares):
        return super().has_room([RouterShare(1, 0)])


class HalfWindowBudget(SharedRetryBudget):
    """Injected fault: retries expire after half the window."""

    def has_room(self, shares):
        oldest = self._clock.monotonic() - WINDOW_SECONDS / 2
        while self._retries and self._retries[0] < oldest:
            self._retries.popleft()
        return super().has_room(shares)


class OverwritingProgress(RequestProgress):
    """Injected fault: a declined send also cancels the earlier ones."""

    def apply(self, event):
        if event is RequestEvent.DECLINED:
            self.state = RequestState.ADMITTED
            return
        super().apply(event)


def run_machine(**fields):
    run_model(type('Machine', (RetryMachine,), fields))


class TestRetries(unittest.TestCase):
    def test_truth_is_told_and_the_budget_is_kept(self):
        run_machine()

    def test_planted_slack_for_each_is_found(self):
        with self.assertRaises(AssertionError):
            run_machine(budget_class=SlackPerRouterBudget)

    def test_planted_short_memory_is_found(self):
        with self.assertRaises(AssertionError):
            run_machine(budget_class=HalfWindowBudget)

    def test_planted_forgotten_send_is_found(self):
        with self.assertRaises(AssertionError):
            run_machine(progress_class=OverwritingProgress)
