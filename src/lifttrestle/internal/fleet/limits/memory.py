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

"""What upstreams in need have named as the rate that they take."""

from lifttrestle.internal.fleet.policy.limit_belief import NamedLimit
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.intake.refusals import InputRefusals
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('limits')


class UpstreamLimits:
    """Notes what each answer says of its upstream's limit."""

    def __init__(self, refusals: InputRefusals) -> None:
        self._refusals = refusals
        self._rates: dict[str, float] = {}
        self._told_faults: set[str] = set()

    def note_answer(self, upstream: FleetUpstream, named: NamedLimit) -> None:
        """Take in what an answer says; a fault is told once a start."""
        start = upstream.start
        if named.fault is not None:
            if start not in self._told_faults:
                self._told_faults.add(start)
                self._refusals.note('limits', start, named.fault)
            return
        before = self._rates.get(start)
        if named.rate == before:
            return
        if named.rate is None:
            del self._rates[start]
        else:
            self._rates[start] = named.rate
        LOG.info(
            'limit.named', start=start, rate_per_s=named.rate, before=before
        )
