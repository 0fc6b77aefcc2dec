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

"""Base of stateful tests that decide the outcome of each call to a table."""

import asyncio

import hypothesis.stateful as stateful
import hypothesis.strategies as st

from tests.support.gated_table import cancel_others
from tests.support.gated_table import Fate
from tests.support.gated_table import Gate
from tests.support.gated_table import settle_loop

# Most calls are answered, since an example makes no progress otherwise.
FATES = (Fate.ANSWERED,) * 8 + tuple(Fate)


class GatedModel(stateful.RuleBasedStateMachine):
    """Runs an event loop and decides the fate of each call to the table."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.gate = Gate()

    def teardown(self) -> None:
        self.run(cancel_others())
        self.loop.close()

    def run(self, work):  # noqa: ANN001, ANN201
        return self.loop.run_until_complete(work)

    def settle(self) -> None:
        """Run all tasks until each waits for the gate or the clock."""
        self.run(settle_loop())

    @stateful.precondition(lambda self: self.gate.calls)
    @stateful.rule(data=st.data(), fate=st.sampled_from(FATES))
    def decide(self, data: st.DataObject, fate: Fate) -> None:
        index = data.draw(st.integers(0, len(self.gate.calls) - 1))
        self.run(self.gate.decide(self.gate.calls[index], fate))
        self.settle()

    @stateful.precondition(lambda self: self.gate.calls)
    @stateful.rule(fate=st.sampled_from((Fate.ANSWERED, Fate.REFUSED)))
    def decide_all(self, fate: Fate) -> None:
        # Several rounds, as a real table answers or refuses calls for a while.
        for _ in range(4):
            for call in list(self.gate.calls):
                self.run(self.gate.decide(call, fate))
            self.settle()

    @stateful.precondition(lambda self: self.gate.late)
    @stateful.rule(data=st.data())
    def apply_late(self, data: st.DataObject) -> None:
        index = data.draw(st.integers(0, len(self.gate.late) - 1))
        self.run(self.gate.apply_late(index))
        self.settle()
