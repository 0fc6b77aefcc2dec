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

"""The policies that a replay can compare, by name."""

from collections.abc import Callable
import random

from lifttrestle.internal.replay.event_index import EventIndexPolicy
from lifttrestle.internal.replay.flat import FlatRendezvousPolicy
from lifttrestle.internal.replay.nested_first import FirstNestedPolicy
from lifttrestle.internal.routing.baselines import LeastInFlightPolicy
from lifttrestle.internal.routing.baselines import RandomPolicy
from lifttrestle.internal.routing.baselines import RoundRobinPolicy
from lifttrestle.internal.routing.nested import NestedPolicy
from lifttrestle.internal.routing.policy import Policy

EVENT_LAG_SECONDS = 0.5
EVENT_LOSS = 0.02

PolicyFactory = Callable[[random.Random, float], Policy]

# Each factory takes a source of randomness and the fraction of cache events
# that a fault loses.
POLICIES: dict[str, PolicyFactory] = {
    'random': lambda source, _loss: RandomPolicy(source),
    'round-robin': lambda _source, _loss: RoundRobinPolicy(),
    'least-in-flight': lambda source, _loss: LeastInFlightPolicy(source),
    'event-index': lambda source, loss: EventIndexPolicy(
        source, EVENT_LAG_SECONDS, max(loss, EVENT_LOSS)
    ),
    'flat': lambda _source, _loss: FlatRendezvousPolicy(),
    'nested-1': lambda source, _loss: FirstNestedPolicy(source),
    'nested': lambda source, _loss: NestedPolicy(source),
}
