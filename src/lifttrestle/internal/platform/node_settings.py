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

"""Reads the settings file that the platform writes for each process."""

import pathlib

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from lifttrestle.internal.fleet.settings import DEFAULT_CONNECTIONS
from lifttrestle.internal.fleet.settings import DEFAULT_CONTROL_CONNECTIONS
from lifttrestle.internal.fleet.settings import FleetSettings
from lifttrestle.internal.fleet.settings import Promises
from lifttrestle.internal.fleet.settings import StoreSettings
from lifttrestle.internal.http.memory_budget import DEFAULT_MEMORY_BYTES
from lifttrestle.internal.settings.fault import Fault
from lifttrestle.internal.settings.schema import find_schema_faults

MILLISECONDS = 1000
BYTES_PER_MB = 1_000_000
# A router at rest takes up to half of the smallest limits, and the rest of its
# connections' state some more; a body is in memory twice when it is copied.
HELD_SHARE = 0.15
# Descriptors that are reserved for files; sockets share the others.
FILE_DESCRIPTORS = 200
# For connections of callers; the rest is for upstreams, other routers and the
# store.
CALLERS_SHARE = 0.4
CONTROL_SHARE = 0.05
# Numbers of the internal ports in use.
PEERS_PORT = 0
TUNNELS_PORT = 1


class ListenRecord(msgspec.Struct):
    """Addresses for callers and for readiness checks."""

    front: str
    ready: str


class StoreRecord(msgspec.Struct):
    """The platform's store."""

    address: str
    history_s: float = 20


class ContractParamsRecord(msgspec.Struct):
    """The parameters of the platform's contract that the router uses.

    ``thaw_slack_ms`` is not read: orders check their lease instead.

    :ivar drain_ms: time within which a leaving upstream stops getting
        requests.
    """

    drain_ms: float = 2000
    grace_s: float = 8
    revoke_ms: float = 5000
    revoke_strict: bool = False
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10
    retry_slack: float = 0
    lease_ms: float = 3000
    version_ms: float = 10000
    quota_window_s: float = 10
    quota_over: float = 0.1
    quota_slack: float = 0


class LimitsRecord(msgspec.Struct):
    """The limits of the machine.

    :ivar memory_mb: a process that exceeds it is killed; 0 if not known.
    :ivar fd_limit: descriptors that a process may open; 0 if not known.
    """

    memory_mb: float = 0
    fd_limit: float = 0


class NodeRecord(msgspec.Struct):
    """The settings file; unknown fields are ignored.

    :ivar internal_ports: first and last port reserved for use among routers.
    """

    node_name: str
    ip: str
    zone: str
    region: str
    listen: ListenRecord
    platform: StoreRecord
    zones: dict[str, str] = {}
    internal_ports: list[int] = []
    heartbeat_ms: float = 1200
    limits: LimitsRecord = msgspec.field(default_factory=LimitsRecord)
    contract_params: ContractParamsRecord = msgspec.field(
        default_factory=ContractParamsRecord
    )


def check_node_settings(
    path: pathlib.Path, metrics_port: int = 0
) -> Result[FleetSettings, tuple[Fault, ...]]:
    """Return the settings, or every fault in the file.

    :param metrics_port: port on which to serve metrics; 0 disables this.
    """
    try:
        data = _decode(path.read_bytes())
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        fault = Fault(
            str(path), 0, '(file)', str(error), 'write a YAML mapping here'
        )
        return Failure((fault,))
    findings = list(find_schema_faults(NodeRecord, data))
    if findings:
        return Failure(
            tuple(
                Fault(str(path), 0, key, repr(value), remedy)
                for key, value, remedy in findings
            )
        )
    record = msgspec.convert(data, NodeRecord)
    return Success(_translate(record, metrics_port))


def _decode(content: bytes) -> object:
    """Decode the file from JSON or YAML.

    The platform writes JSON with the template of this project, and YAML
    without it. Importing the YAML library takes 23 ms; importing the modules
    of a router takes some 360 ms.
    """
    if content.lstrip().startswith(b'{'):
        return msgspec.json.decode(content)
    return msgspec.yaml.decode(content)


def _get_internal_address(record: NodeRecord, number: int) -> str:
    """Return the address of an internal port, or an empty string.

    :param number: its number among those reserved, from zero.
    """
    if not record.internal_ports:
        return ''
    port = record.internal_ports[0] + number
    if number and port > record.internal_ports[-1]:
        return ''
    return f'{record.ip}:{port}'


def _translate(record: NodeRecord, metrics_port: int) -> FleetSettings:
    rules = record.contract_params
    return FleetSettings(
        vm=record.node_name,
        data_centre=record.zone,
        callers_address=record.listen.front,
        ready_address=record.listen.ready,
        metrics_address=f'{record.ip}:{metrics_port}' if metrics_port else '',
        peers_address=_get_internal_address(record, PEERS_PORT),
        tunnels_address=_get_internal_address(record, TUNNELS_PORT),
        heartbeat_seconds=record.heartbeat_ms / MILLISECONDS,
        store=StoreSettings(record.platform.address),
        promises=Promises(
            drain_seconds=rules.drain_ms / MILLISECONDS,
            grace_seconds=rules.grace_s,
            revoke_seconds=rules.revoke_ms / MILLISECONDS,
            retry_share=rules.retry_budget_ratio,
            retry_window_seconds=rules.budget_window_s,
            retry_slack=rules.retry_slack,
            lease_seconds=rules.lease_ms / MILLISECONDS,
            weights_seconds=rules.version_ms / MILLISECONDS,
            cap_window_seconds=rules.quota_window_s,
            cap_over_share=rules.quota_over,
            cap_slack=rules.quota_slack,
        ),
        memory_bytes=_get_memory_bytes(record.limits.memory_mb),
        max_connections=_get_connections(
            record.limits, CALLERS_SHARE, DEFAULT_CONNECTIONS
        ),
        max_control_connections=_get_connections(
            record.limits, CONTROL_SHARE, DEFAULT_CONTROL_CONNECTIONS
        ),
    )


def _get_connections(limits: LimitsRecord, share: float, most: int) -> int:
    """Return how many connections one listener may have.

    :param share: of all sockets that the process may open.
    """
    if not limits.fd_limit:
        return most
    sockets = max(limits.fd_limit - FILE_DESCRIPTORS, 0)
    return min(most, max(int(sockets * share), 1))


def _get_memory_bytes(memory_mb: float) -> int:
    """Return the memory for what callers and answers make the router hold."""
    if not memory_mb:
        return DEFAULT_MEMORY_BYTES
    return int(memory_mb * BYTES_PER_MB * HELD_SHARE)
