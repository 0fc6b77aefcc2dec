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

"""The settings of a router: all sections of its settings file."""

from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.settings.sections import AdmissionSection
from lifttrestle.internal.settings.sections import ControlSection
from lifttrestle.internal.settings.sections import DeadlinesSection
from lifttrestle.internal.settings.sections import ListenSection
from lifttrestle.internal.settings.sections import LogSection
from lifttrestle.internal.settings.sections import OperatorsSection
from lifttrestle.internal.settings.sections import PeersSection
from lifttrestle.internal.settings.sections import PlatformSection
from lifttrestle.internal.settings.sections import RouterSection
from lifttrestle.internal.settings.sections import Section
from lifttrestle.internal.settings.sections import StatsdSection
from lifttrestle.internal.settings.sections import StopSection
from lifttrestle.internal.settings.sections import TlsSection
from lifttrestle.internal.settings.upstream import UpstreamSettings


class RouterSettings(Section, frozen=True):
    """The contents of a settings file; immutable."""

    router: RouterSection
    listen: ListenSection
    platform: PlatformSection
    upstream: tuple[UpstreamSettings, ...]
    peers: PeersSection = PeersSection()
    tls: TlsSection = TlsSection()
    operators: OperatorsSection = OperatorsSection()
    statsd: StatsdSection = StatsdSection()
    log: LogSection = LogSection()
    deadlines: DeadlinesSection = DeadlinesSection()
    admission: AdmissionSection = AdmissionSection()
    stop: StopSection = StopSection()
    control: ControlSection = ControlSection()
    http: HttpLimits = HttpLimits()
