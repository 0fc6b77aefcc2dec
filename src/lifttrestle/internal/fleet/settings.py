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

"""Settings of a router that serves a fleet of VMs."""

import dataclasses

from lifttrestle.internal.http.memory_budget import DEFAULT_MEMORY_BYTES

DEFAULT_CONNECTIONS = 1500
DEFAULT_CONTROL_CONNECTIONS = 100


@dataclasses.dataclass(frozen=True)
class StoreSettings:
    """Address of the store of the shared tables."""

    address: str


@dataclasses.dataclass(frozen=True)
class Promises:
    """Guarantees to the operators; times in seconds.

    :ivar drain_seconds: time within which a leaving upstream stops getting
        requests.
    :ivar grace_seconds: time from the stop signal until the process is
        killed.
    :ivar revoke_seconds: time after which a revoked API key is never
        accepted.
    :ivar retry_share: maximum number of retries per request, over all
        routers.
    :ivar retry_window_seconds: window in which retries are counted.
    :ivar retry_slack: retries allowed in a window regardless of traffic.
    :ivar lease_seconds: minimum time between the orders of two holders of a
        lease.
    :ivar weights_seconds: time after which no request may start on old
        weights.
    :ivar cap_window_seconds: window in which the usage of a workspace is
        counted.
    :ivar cap_over_share: tolerated excess over the cap in a window, as a
        fraction of the cap.
    :ivar cap_slack: units tolerated in addition to that.
    """

    drain_seconds: float = 2.0
    grace_seconds: float = 8.0
    revoke_seconds: float = 5.0
    retry_share: float = 0.2
    retry_window_seconds: float = 10.0
    retry_slack: float = 0.0
    lease_seconds: float = 3.0
    weights_seconds: float = 10.0
    cap_window_seconds: float = 10.0
    cap_over_share: float = 0.1
    cap_slack: float = 0.0


@dataclasses.dataclass(frozen=True)
class FleetSettings:
    """Location and addresses of one router.

    :ivar peers_address: address for connections and datagrams of the other
        routers.
    :ivar tunnels_address: address for the tunnels of the other routers, or an
        empty string.
    :ivar heartbeat_seconds: heartbeat interval of an upstream.
    :ivar memory_bytes: memory for all that callers and answers of upstreams
        make the router hold.
    :ivar max_connections: connections of callers.
    :ivar max_control_connections: those for readiness, and those for metrics.
    """

    vm: str
    data_centre: str
    callers_address: str
    ready_address: str
    metrics_address: str
    peers_address: str
    tunnels_address: str
    heartbeat_seconds: float
    store: StoreSettings
    promises: Promises
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    max_connections: int = DEFAULT_CONNECTIONS
    max_control_connections: int = DEFAULT_CONTROL_CONNECTIONS
