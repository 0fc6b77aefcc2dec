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

"""What a router knows about one upstream; not persisted."""

import dataclasses

from lifttrestle.internal.http.client_pool import ClientPool
from lifttrestle.internal.settings.upstream import UpstreamSettings
from lifttrestle.internal.upstream.breaker import Breaker
from lifttrestle.internal.upstream.report import EngineReport
from lifttrestle.internal.upstream.report import NO_REPORT
from lifttrestle.internal.upstream.report import NoReport


@dataclasses.dataclass
class UpstreamState:
    """The settings, last report, load and health of one upstream.

    :ivar reported_at: monotonic time of the last report.
    :ivar in_flight: requests of this router that have not ended.
    :ivar leaving: whether, by the VM list, its VM is leaving or gone.
    :ivar draining: whether it has reported that it takes no new work.
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
        """Return the last reported incarnation, or an empty string."""
        if isinstance(self.report, EngineReport):
            return self.report.incarnation
        return ''

    @property
    def software(self) -> str:
        """Return the reported version of its software, or empty."""
        if isinstance(self.report, EngineReport):
            return self.report.software
        return ''

    def get_version(self, model: str) -> str:
        """Return the reported version of a model's weights, or empty."""
        if isinstance(self.report, EngineReport):
            return self.report.versions.get(model, '')
        return ''
