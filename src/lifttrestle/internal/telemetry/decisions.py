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

"""Logs routing decisions, one line each."""

import logging

from lifttrestle.internal.telemetry.decision import Decision

LOG = logging.getLogger('lifttrestle.routing')
MILLISECONDS = 1000


class DecisionLog:
    """Logs requests with their upstream, reason and costs."""

    def write(self, decision: Decision) -> None:
        """Log a decision after its request has ended."""
        LOG.info(
            'routing: request=%s workspace=%s data_centre=%s target=%s'
            ' upstream=%s reason="%s" expected_ms=%.1f observed_ms=%.1f'
            ' expected_cached=%d observed_cached=%d tokens=%d outcome="%s"',
            decision.request_id,
            decision.workspace,
            decision.data_centre,
            decision.target,
            decision.upstream,
            decision.reason,
            decision.expected_seconds * MILLISECONDS,
            decision.observed_seconds * MILLISECONDS,
            decision.expected_cached,
            decision.observed_cached,
            decision.tokens,
            decision.outcome,
        )
