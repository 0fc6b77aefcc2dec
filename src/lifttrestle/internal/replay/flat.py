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

"""Baseline policy: rendezvous hashing of the innermost prefix level."""

from lifttrestle.internal.routing.candidate import Candidate
from lifttrestle.internal.routing.choice import Choice
from lifttrestle.internal.routing.policy import Policy
from lifttrestle.internal.routing.prompt import Prompt
from lifttrestle.internal.routing.rendezvous import rank_names

MAX_UTILIZATION = 1.0


class FlatRendezvousPolicy(Policy):
    """Chooses the first upstream in the ranking that is not full."""

    def choose(
        self, prompt: Prompt, candidates: list[Candidate], now: float
    ) -> Choice:
        """Return the first candidate with a free slot, or the first of all."""
        by_name = {item.name: item for item in candidates}
        ranking = rank_names(prompt.levels[-1].digest, list(by_name))
        for name in ranking:
            candidate = by_name[name]
            if candidate.load < candidate.slots * MAX_UTILIZATION:
                return Choice(name, 'home')
        return Choice(ranking[0], 'all are full')
