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

"""Faults that can be injected into a replay."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ReplayFaults:
    """Faults of the engines and of the information that routers receive.

    :ivar crash_at: time in seconds at which the first engine crashes, or a
        negative number for no crash.
    :ivar event_loss: fraction of the cache events that are lost.
    :ivar report_lag: delay of load reports in seconds.
    """

    crash_at: float = -1.0
    event_loss: float = 0.0
    report_lag: float = 0.25


FAULTS: dict[str, ReplayFaults] = {
    'healthy': ReplayFaults(),
    'crash': ReplayFaults(crash_at=45.0),
    'lost-events': ReplayFaults(event_loss=0.5),
    'late-reports': ReplayFaults(report_lag=2.0),
}
