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

"""The components of a router that serve its requests."""

import dataclasses
import random

from lifttrestle.internal.admission.gate import AdmissionGate
from lifttrestle.internal.admission.retries import RetryBudget
from lifttrestle.internal.admission.workspaces import WorkspaceLimits
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.configuration.keeper import ConfigurationKeeper
from lifttrestle.internal.http.memory_budget import MemoryBudget
from lifttrestle.internal.membership.peers import Peers
from lifttrestle.internal.replay.recorder import TraceRecorder
from lifttrestle.internal.router.background import BackgroundTasks
from lifttrestle.internal.router.planned_stop import PlannedStop
from lifttrestle.internal.router.recent_durations import RecentDurations
from lifttrestle.internal.routing.policy import Policy
from lifttrestle.internal.runrecord.ledger import RunLedger
from lifttrestle.internal.settings.router import RouterSettings
from lifttrestle.internal.telemetry.decisions import DecisionLog
from lifttrestle.internal.telemetry.statsd_client import StatsdClient
from lifttrestle.internal.upstream.driver import EngineDriver
from lifttrestle.internal.upstream.registry import UpstreamRegistry


@dataclasses.dataclass(frozen=True)
class RouterParts:
    """Components that outlive a request, built once at start.

    :ivar source: the source of randomness for choices and ids.
    :ivar needed: recent durations of requests, by model or service.
    :ivar memory: bound on what callers and answers make the process hold.
    :ivar recorder: records a trace of the requests, if enabled.
    """

    settings: RouterSettings
    clock: Clock
    source: random.Random
    keeper: ConfigurationKeeper
    peers: Peers
    registry: UpstreamRegistry
    driver: EngineDriver
    policy: Policy
    limits: WorkspaceLimits
    gate: AdmissionGate
    budget: RetryBudget
    ledger: RunLedger
    decisions: DecisionLog
    metrics: StatsdClient
    background: BackgroundTasks
    stop: PlannedStop
    needed: RecentDurations
    memory: MemoryBudget
    recorder: TraceRecorder | None = None
