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

"""Stateful test of run records under lost calls, pauses, crashes and retries.

Several routers try to run the same idempotency key. Hypothesis chooses the
fate of each call to the table, when a claimed request is sent or abandoned,
and when a router crashes. Three ledgers with an injected fault show that the
model detects violations.
"""

import asyncio
import dataclasses
import datetime
import unittest

from hypothesis import Phase
from hypothesis import settings
import hypothesis.stateful as stateful
import hypothesis.strategies as st

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.runrecord.ledger import Claim
from lifttrestle.internal.runrecord.ledger import ClaimConflict
from lifttrestle.internal.runrecord.ledger import RunKey
from lifttrestle.internal.runrecord.ledger import RunLedger
from lifttrestle.internal.runrecord.record import RunRecord
from lifttrestle.internal.runrecord.record import RunState
from tests.support.gated_model import GatedModel
from tests.support.gated_table import GatedTable

START = datetime.datetime(2026, 12, 6, tzinfo=datetime.timezone.utc)
# A single key, since attempts on several keys conflict less often.
KEYS = ('grid-1',)
EXAMPLES = settings(
    max_examples=400,
    stateful_step_count=50,
    derandomize=True,
    database=None,
    deadline=None,
    report_multiple_bugs=False,
)
# An injected fault only has to be found, so the example is not shrunk.
FAULTY_EXAMPLES = settings(EXAMPLES, phases=(Phase.generate,))


@dataclasses.dataclass(eq=False)
class Attempt:
    """One request at one router."""

    name: str
    key: str
    router: int
    task: asyncio.Task | None = None
    claim: Claim | None = None
    said: str = ''
    ran: bool = False


class RunModel(GatedModel):
    """Routers, attempts, and a count of what ran."""

    LEDGER: type[RunLedger] = RunLedger

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock(START)
        self.ledgers: dict[int, RunLedger] = {}
        self.dead: list[RunLedger] = []
        self.attempts: list[Attempt] = []
        self.number = 0

    @stateful.rule(
        key=st.sampled_from(KEYS), router=st.integers(min_value=0, max_value=2)
    )
    def start(self, key: str, router: int) -> None:
        self.number += 1
        if router not in self.ledgers:
            table = GatedTable(self.gate, str(router))
            self.ledgers[router] = self.LEDGER(table, self.clock, str(router))
        attempt = Attempt(f'attempt-{self.number}', key, router)
        self.attempts.append(attempt)
        attempt.task = self.loop.create_task(self.try_claim(attempt))
        self.settle()

    async def try_claim(self, attempt: Attempt) -> None:
        ledger = self.ledgers[attempt.router]
        run_key = RunKey('daily', attempt.key)
        try:
            outcome = await ledger.claim(run_key, attempt.name, 'same')
        except PlatformUnavailable:
            ledger.schedule_void(run_key, attempt.name)
            attempt.said = 'not run'
            return
        if isinstance(outcome, Claim):
            attempt.claim = outcome
            return
        done = outcome.record.state is RunState.DONE
        attempt.said = 'ran' if done else 'unknown'

    def list_claimed(self) -> list[Attempt]:
        return [
            item
            for item in self.attempts
            if item.claim is not None and not item.said and not item.ran
        ]

    @stateful.precondition(lambda self: self.list_claimed())
    @stateful.rule(data=st.data(), send=st.booleans())
    def send_or_give_up(self, data: st.DataObject, send: bool) -> None:
        claimed = self.list_claimed()
        attempt = claimed[data.draw(st.integers(0, len(claimed) - 1))]
        ledger = self.ledgers[attempt.router]
        run_key = RunKey('daily', attempt.key)
        if send:
            attempt.ran = True
            self.run(self.finish(ledger, attempt))
        else:
            attempt.said = 'not run'
            self.run(self.void(ledger, run_key, attempt.name))
        self.settle()

    async def finish(self, ledger: RunLedger, attempt: Attempt) -> None:
        ledger.schedule_finish(attempt.claim, RunState.DONE, 200)

    async def void(
        self, ledger: RunLedger, run_key: RunKey, name: str
    ) -> None:
        ledger.schedule_void(run_key, name)

    @stateful.rule(seconds=st.sampled_from((0.2, 5.0)))
    def pass_time(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.settle()

    @stateful.rule(router=st.integers(min_value=0, max_value=2))
    def crash(self, router: int) -> None:
        if router not in self.ledgers:
            return
        # Kept, so that its unfinished tasks stay as a paused router's would.
        self.dead.append(self.ledgers.pop(router))
        self.gate.forget(str(router))
        for attempt in self.attempts:
            if attempt.router == router and not attempt.said:
                attempt.said = 'cut'
                if attempt.task is not None:
                    attempt.task.cancel()
        self.settle()

    @stateful.invariant()
    def check_runs(self) -> None:
        for key in KEYS:
            mine = [item for item in self.attempts if item.key == key]
            runs = sum(item.ran for item in mine)
            assert runs <= 1, f'{key} ran {runs} times'
            holders = [item for item in mine if item in self.list_claimed()]
            assert len(holders) + runs <= 1, f'{key} has two holders'
            for attempt in mine:
                assert not (attempt.ran and attempt.said == 'not run')
                if attempt.said == 'ran':
                    assert runs == 1, f'{key} was said to have run'


class ClaimTakingLedger(RunLedger):
    """Treats a claim as void, as if its holder could not resume."""

    async def claim(
        self, run_key: RunKey, attempt: str, fingerprint: str
    ) -> Claim | ClaimConflict:
        outcome = await super().claim(run_key, attempt, fingerprint)
        if isinstance(outcome, Claim):
            return outcome
        if outcome.record.state is not RunState.CLAIMED:
            return outcome
        return Claim(run_key, outcome.record, 0)


class LostAnswerTrustingLedger(RunLedger):
    """Treats a lost answer as a claim that took effect."""

    async def claim(
        self, run_key: RunKey, attempt: str, fingerprint: str
    ) -> Claim | ClaimConflict:
        try:
            return await super().claim(run_key, attempt, fingerprint)
        except PlatformUnavailable:
            now = self._clock.now()
            record = RunRecord(
                attempt, RunState.CLAIMED, fingerprint, self._router, now
            )
            return Claim(run_key, record, 0)


class UncheckedVoidingLedger(RunLedger):
    """Voids a claim without checking which attempt holds it."""

    async def _write_state_once(
        self, run_key: RunKey, attempt: str, state: RunState, status: int
    ) -> None:
        row = await self._read(run_key)
        version = row.version if row else 0
        record = self._make_record(attempt, state, '', status)
        await self._write(run_key, record, version)


class TestRunRecord(unittest.TestCase):
    def check(self, ledger: type[RunLedger]) -> None:
        machine = type('Model', (RunModel,), {'LEDGER': ledger})
        examples = EXAMPLES if ledger is RunLedger else FAULTY_EXAMPLES
        stateful.run_state_machine_as_test(machine, settings=examples)

    def test_key_runs_at_most_once_and_is_reported_correctly(self) -> None:
        self.check(RunLedger)

    def test_model_detects_a_claim_that_is_taken_over(self) -> None:
        with self.assertRaises(AssertionError):
            self.check(ClaimTakingLedger)

    def test_model_detects_a_lost_answer_taken_for_success(self) -> None:
        with self.assertRaises(AssertionError):
            self.check(LostAnswerTrustingLedger)

    def test_model_detects_a_voided_claim_of_another_attempt(self) -> None:
        with self.assertRaises(AssertionError):
            self.check(UncheckedVoidingLedger)


if __name__ == '__main__':
    unittest.main()
