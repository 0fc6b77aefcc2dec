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

"""Wire format of the platform's messages and of the rows of its store."""

import enum
from typing import Annotated

import msgspec

# The longest name, and the largest numbers, that an upstream may report. They
# are logged, computed with, and sent to other routers as 64 bits.
MAX_NAME_LENGTH = 200
MAX_COUNT = 2**53 - 1
MAX_SLOTS = 1_000_000
MAX_MILLISECONDS = 1e12
# Printable characters; a line break would end a line of a log or a header.
PRINTABLE = r'^[^\x00-\x1f\x7f-\x9f\u2028\u2029]*\Z'

Name = Annotated[
    str,
    msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH, pattern=PRINTABLE),
]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_MILLISECONDS)]
# Start time in Unix milliseconds; some deployments don't report it.
Born = Count | msgspec.UnsetType


class ServiceShareRecord(msgspec.Struct):
    """A service of a route, and its weight relative to the others."""

    service: str
    weight: float = 1.0


class RouteRecord(msgspec.Struct):
    """A route.

    :ivar sticky: whether requests share parts of their prompts.
    :ivar gap_aim_ms: the longest pause between the events of a stream that
        meets its objective, None without one.
    """

    name: str
    host: str
    prefix: str
    route_type: str = 'non_idempotent'
    timeout_ms: float = 30000
    target_latency_ms: float = 1000
    priority: int = 5
    service: str = ''
    traffic_split: list[ServiceShareRecord] = []
    max_attempts: int = 1
    auth_exempt: bool = False
    sticky: bool = False
    can_resume: bool = False
    gap_aim_ms: float | None = None


class ModelRecord(msgspec.Struct):
    """A model of a service."""

    name: str


class LoadedModelRecord(msgspec.Struct):
    """The version of a model's weights that an engine has loaded."""

    name: Name
    version: Count


class EngineRecord(msgspec.Struct):
    """Properties of every engine of a service.

    :ivar slots: requests that one engine runs concurrently.
    :ivar kv_token_bytes: bytes of KV cache per token.
    :ivar link_mbps: bandwidth of one engine's link in Mbit/s.
    """

    slots: int = 1
    kv_capacity_tokens: int = 0
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0
    models: list[ModelRecord] = []


class ServiceRecord(msgspec.Struct):
    """A service; if ``kv_store_addr`` is set, it is a KV cache store.

    :ivar max_conns: connections that one upstream accepts from all routers
        in total.
    :ivar zone: data centre of the KV cache store.
    :ivar kv_capacity_tokens: capacity of the KV cache store.
    :ivar link_mbps: bandwidth of the KV cache store's link in Mbit/s.
    """

    name: str
    max_conns: int = 64
    engine: EngineRecord | None = None
    kv_store_addr: str = ''
    zone: str = ''
    kv_capacity_tokens: int = 0
    link_mbps: float = 0.0


class LimitsRecord(msgspec.Struct):
    """Limits for the connection of one caller."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class TenantRecord(msgspec.Struct):
    """A workspace.

    The fields of its cap may be of any type, so that an invalid cap of one
    workspace does not invalidate the configuration of all others.

    :ivar rate_per_s: units per second over all routers; zero for no limit.
    :ivar burst: units that can accumulate.
    :ivar unit: what is counted.
    :ivar plain_tokens: units of a request without a token count.
    """

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    isolated: bool = False
    rate_per_s: object = 0
    burst: object = 0
    unit: object = None
    plain_tokens: object = 0


class ConfigurationRecord(msgspec.Struct):
    """The complete configuration.

    :ivar tenants: None if no keys are required.
    """

    version: int
    routes: list[RouteRecord] = []
    services: list[ServiceRecord] = []
    limits: LimitsRecord = msgspec.field(default_factory=LimitsRecord)
    tenants: list[TenantRecord] | None = None


class WeightsRecord(msgspec.Struct):
    """The operator's target version of a model's weights."""

    model: Name
    version: Count


class EntryState(enum.Enum):
    """States that the entry of an upstream can report."""

    READY = 'ready'
    DRAINING = 'draining'


class UpstreamRecord(msgspec.Struct):
    """An upstream's entry; fields that every upstream sets have no default.

    :ivar version: version of its software, of any length.
    :ivar seq_no: increases with what it has accepted since its start.
    :ivar models: models that an engine has loaded; other upstreams have none.
    """

    service: Name
    address: Name
    zone: Name
    version: str
    slots: Slots
    state: EntryState
    cold_left_ms: Milliseconds
    seq_no: Count
    models: list[LoadedModelRecord] = []
    born: Born = msgspec.UNSET


class RowRecord(msgspec.Struct):
    """A row of the store; ``value`` is base64, or absent if removed."""

    table: str
    key: str
    part: str = ''
    value: str | None = None
    ver: int = 0
    tombstone: bool = False


class RowsRecord(msgspec.Struct):
    """Rows as of one commit, or the changes up to it.

    :ivar ver: the newest commit of the store.
    :ivar more_pages: whether further rows have to be read.
    """

    ver: int = 0
    rows: list[RowRecord] = []
    more_pages: bool = False


class ReportRecord(msgspec.Struct):
    """State that an engine reports, some hundred milliseconds old.

    :ivar busy: whether it is executing an order.
    :ivar seq_no: number of orders accepted since its start.
    """

    models: list[LoadedModelRecord] = []
    busy: bool = False
    seq_no: Count = 0
    waiting: Count = 0
    running: Count = 0
    kv_used: Count = 0
    kv_total: Count = 0
    born: Born = msgspec.UNSET


def read_born(born: Born) -> int | None:
    """Return an upstream's start time, or None if it is not reported."""
    return None if born is msgspec.UNSET else born
