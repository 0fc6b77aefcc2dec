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

"""A baseline: one rendezvous home for each whole prefix, by load."""

from lifttrestle.internal.routing.candidate import Candidate
from lifttrestle.internal.routing.choice import Choice
from lifttrestle.internal.routing.policy import Policy
from lifttrestle.internal.routing.prompt import Prompt
from lifttrestle.internal.routing.rendezvous import rank_names

FULL_SHARE = 1.0


class FlatRendezvousPolicy(Policy):
    """Takes the first home of the innermost level that is not full."""

    def choose(
        self, prompt: Prompt, candidates: list[Candidate], now: float
    ) -> Choice:
        """Return the best ranked candidate with a free slot."""
        by_name = {item.name: item for item in candidates}
        ranking = rank_names(prompt.levels[-1].digest, list(by_name))
        for name in ranking:
            candidate = by_name[name]
            if candidate.load < candidate.slots * FULL_SHARE:
                return Choice(name, 'home')
        return Choice(ranking[0], 'all are full')
