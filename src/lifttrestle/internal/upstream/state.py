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

"""What one router knows about one upstream; kept in memory only."""

import dataclasses

from lifttrestle.internal.http.client_pool import ClientPool
from lifttrestle.internal.settings.upstream import UpstreamSettings
from lifttrestle.internal.upstream.breaker import Breaker
from lifttrestle.internal.upstream.report import EngineReport
from lifttrestle.internal.upstream.report import NO_REPORT
from lifttrestle.internal.upstream.report import NoReport


@dataclasses.dataclass
class UpstreamState:
    """One upstream's settings, own report, load and health.

    :ivar in_flight: requests that this router has sent and not ended.
    :ivar leaving: the VM list says that its VM leaves or is gone.
    :ivar draining: it said itself that it takes no new work.
    """

    settings: UpstreamSettings
    pool: ClientPool
    report: EngineReport | NoReport = NO_REPORT
    reported_at: float = 0.0
    in_flight: int = 0
    leaving: bool = False
    draining: bool = False
    breaker: Breaker = dataclasses.field(default_factory=Breaker)

    @property
    def name(self) -> str:
        """Return the upstream's name."""
        return self.settings.name

    @property
    def incarnation(self) -> str:
        """Return the incarnation that it last reported, or nothing."""
        if isinstance(self.report, EngineReport):
            return self.report.incarnation
        return ''

    def get_version(self, model: str) -> str:
        """Return the version of the weights it reported for a model."""
        if isinstance(self.report, EngineReport):
            return self.report.versions.get(model, '')
        return ''
