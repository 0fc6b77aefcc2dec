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

"""Prometheus metrics of a fleet router.

docs/METRICS.md explains what each metric is for.
"""

from collections.abc import Callable

import prometheus_client

from lifttrestle.internal.fleet.policy.retry_budget import BudgetUse

PREFIX = 'lifttrestle'
# Workspaces with a label value of their own; all others share ``OTHERS``.
MAX_WORKSPACES = 100
OTHERS = 'others'
# Upper bounds in seconds. The latency objectives of the known deployments are
# between 0.1 and 0.7 s, their time limits between 0.6 and 15 s.
LATENCY_BUCKETS = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.15,
    0.25,
    0.4,
    0.6,
    1.0,
    2.0,
    4.0,
    8.0,
    16.0,
)
# Upper bounds in seconds for the observed minus the expected time to first
# byte; a negative value is an answer that began sooner than expected.
ERROR_BUCKETS = (-0.4, -0.15, -0.05, 0.0, 0.05, 0.15, 0.4, 1.0, 4.0)


class FleetMetrics:
    """Metrics of one process, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._requests = self._make_counter(
            'requests', 'Requests that ended.', ('service', 'outcome')
        )
        self._attempts = self._make_counter(
            'attempts', 'Sends to upstreams.', ('service', 'result')
        )
        self._retries = self._make_counter(
            'retries', 'Second and further sends.', ('service', 'result')
        )
        self._connections = self._make_counter(
            'connections', 'Connections to upstreams.', ('service', 'kind')
        )
        self._refused_input = self._make_counter(
            'refused_input', 'Data that was refused.', ('source', 'fault')
        )
        self._over_cap = self._make_counter(
            'over_cap', 'Requests refused over a usage cap.', ('workspace',)
        )
        self._over_share = self._make_counter(
            'over_share',
            'Requests refused over a share of engine time.',
            ('workspace',),
        )
        self._permits = self._make_counter(
            'permits', 'Questions for a permit to send.', ('result',)
        )
        self._news = self._make_counter(
            'news_messages', 'Messages of news.', ('kind', 'result')
        )
        self._resumed = self._make_counter(
            'resumed', 'Sends that resume a stream.', ('service', 'software')
        )
        self._origins = self._make_counter(
            'origins', 'Streams that callers resume.', ('known_by',)
        )
        self._labelled_workspaces: set[str] = set()
        self._retries_spent = self._make_gauge(
            'retry_budget_spent', 'Retries in the current window.'
        )
        self._retries_earned = self._make_gauge(
            'retry_budget_earned',
            'Retries that the requests in the window allow.',
        )
        self._retry_slack = self._make_gauge(
            'retry_budget_slack', 'Retries allowed regardless of requests.'
        )
        self._request_seconds = self._make_histogram(
            'request_seconds', 'From the head of a request to its end.'
        )
        self._first_byte = self._make_histogram(
            'first_byte_seconds', 'From a send to the head of its answer.'
        )
        self._expectation_error = self._make_histogram(
            'expectation_error_seconds',
            'First byte of an answer, observed less expected.',
            ERROR_BUCKETS,
        )

    def count_request(
        self, service: str, outcome: str, seconds: float
    ) -> None:
        """Count a request that ended, and record its duration."""
        self._requests.labels(service, outcome).inc()
        self._request_seconds.labels(service).observe(seconds)

    def count_attempt(self, service: str, result: str) -> None:
        """Count an attempt by its result."""
        self._attempts.labels(service, result).inc()

    def count_refused_input(self, source: str, fault: str) -> None:
        """Count received data that was refused as invalid."""
        self._refused_input.labels(source, fault).inc()

    def count_retry(self, service: str, granted: bool) -> None:
        """Count a retry that the retry budget granted or refused."""
        result = 'granted' if granted else 'refused'
        self._retries.labels(service, result).inc()

    def add_retry_budget(
        self, service: str, get_use: Callable[[], BudgetUse]
    ) -> None:
        """Export what this router has of the retry budget of a service."""
        for gauge, read in (
            (self._retries_spent, lambda: get_use().spent),
            (self._retries_earned, lambda: get_use().earned),
            (self._retry_slack, lambda: get_use().slack),
        ):
            gauge.labels(service).set_function(read)

    def count_over_cap(self, workspace: str) -> None:
        """Count a request that exceeded the usage cap of its workspace."""
        self._over_cap.labels(self._get_label(workspace)).inc()

    def count_over_share(self, workspace: str) -> None:
        """Count a request of a workspace over its share of engine time."""
        self._over_share.labels(self._get_label(workspace)).inc()

    def count_permit(self, result: str) -> None:
        """Count a request for a permit by its result."""
        self._permits.labels(result).inc()

    def count_news(self, kind: str, result: str) -> None:
        """Count a message of news.

        :param kind: ``report``, ``group`` or ``fleet``.
        :param result: ``sent``, ``applied`` or ``outdated``.
        """
        self._news.labels(kind, result).inc()

    def count_resumed(self, service: str, software: str) -> None:
        """Count a send that resumes a stream.

        :param software: whether its upstream has the software version of the
            one that began the stream: ``same``, ``other`` or ``unknown``.
        """
        self._resumed.labels(service, software).inc()

    def count_origin(self, known_by: str) -> None:
        """Count a stream that a caller resumes.

        :param known_by: how it was found what began it, or ``unknown``.
        """
        self._origins.labels(known_by).inc()

    def count_connection(self, service: str, reused: bool) -> None:
        """Count an attempt by whether its connection was reused."""
        self._connections.labels(service, 'kept' if reused else 'new').inc()

    def observe_first_byte(
        self, service: str, seconds: float, expected_seconds: float
    ) -> None:
        """Record the time to first byte of an attempt.

        :param expected_seconds: estimate when the upstream was chosen.
        """
        self._first_byte.labels(service).observe(seconds)
        error = seconds - expected_seconds
        self._expectation_error.labels(service).observe(error)

    def add_gauge(
        self, name: str, description: str, read_value: Callable[[], float]
    ) -> None:
        """Register a gauge whose value is read on each collection."""
        gauge = prometheus_client.Gauge(
            f'{PREFIX}_{name}', description, registry=self.registry
        )
        gauge.set_function(read_value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def _get_label(self, workspace: str) -> str:
        """Return the label of a workspace; later ones have none."""
        if len(self._labelled_workspaces) < MAX_WORKSPACES:
            self._labelled_workspaces.add(workspace)
        return workspace if workspace in self._labelled_workspaces else OTHERS

    def _make_counter(
        self, name: str, description: str, labels: tuple[str, ...]
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f'{PREFIX}_{name}', description, labels, registry=self.registry
        )

    def _make_gauge(
        self, name: str, description: str
    ) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f'{PREFIX}_{name}',
            description,
            ('service',),
            registry=self.registry,
        )

    def _make_histogram(
        self,
        name: str,
        description: str,
        buckets: tuple[float, ...] = LATENCY_BUCKETS,
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            f'{PREFIX}_{name}',
            description,
            ('service',),
            buckets=buckets,
            registry=self.registry,
        )
