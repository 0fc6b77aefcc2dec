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

"""Decodes the rows that the operator and the upstreams write."""

from lifttrestle.errors import InputRefused
from lifttrestle.internal.fleet.policy.usage_caps import UsageCap
from lifttrestle.internal.fleet.state.catalogue import CacheStoreConfig
from lifttrestle.internal.fleet.state.catalogue import CallerLimits
from lifttrestle.internal.fleet.state.catalogue import Catalogue
from lifttrestle.internal.fleet.state.catalogue import EngineConfig
from lifttrestle.internal.fleet.state.catalogue import Repeat
from lifttrestle.internal.fleet.state.catalogue import Route
from lifttrestle.internal.fleet.state.catalogue import Service
from lifttrestle.internal.fleet.state.catalogue import ServiceShare
from lifttrestle.internal.fleet.state.catalogue import Workspace
from lifttrestle.internal.fleet.state.decoding import StoredFormat
from lifttrestle.internal.fleet.state.upstream_entry import TargetWeights
from lifttrestle.internal.fleet.state.upstream_entry import UpstreamEntry
from lifttrestle.internal.intake.decoding import decode_json
from lifttrestle.internal.platform import names
from lifttrestle.internal.platform.records import ConfigurationRecord
from lifttrestle.internal.platform.records import EntryState
from lifttrestle.internal.platform.records import MAX_NAME_LENGTH
from lifttrestle.internal.platform.records import read_born
from lifttrestle.internal.platform.records import RouteRecord
from lifttrestle.internal.platform.records import ServiceRecord
from lifttrestle.internal.platform.records import UpstreamRecord
from lifttrestle.internal.platform.records import WeightsRecord
from lifttrestle.internal.platform.stored_caps import read_cap

MILLISECONDS = 1000
IDEMPOTENT = 'idempotent'
STREAM = 'stream'
# An entry has some 300 bytes, that of an engine with many models a few times
# as many. Longer values can't come from an upstream.
MAX_ENTRY_BYTES = 16 * 1024


class PlatformFormat(StoredFormat):
    """Decodes the values that the operator and the upstreams write.

    The methods raise ``InputRefused`` for an invalid value.
    """

    operator_table = names.OPERATOR_TABLE
    upstreams_table = names.UPSTREAMS_TABLE

    def decode_catalogue(self, key: str, value: bytes) -> Catalogue | None:
        """Return the configuration, or None for another kind of row."""
        if key != names.CONFIGURATION_KEY:
            return None
        record = decode_json(value, ConfigurationRecord)
        limits = record.limits
        caps, faults = _read_caps(record)
        return Catalogue(
            version=record.version,
            routes=_index_routes(record.routes),
            services={
                item.name: _read_service(item) for item in record.services
            },
            limits=CallerLimits(
                head_bytes=limits.max_header_bytes,
                body_bytes=limits.max_body_bytes,
                head_seconds=limits.header_timeout_ms / MILLISECONDS,
                idle_seconds=limits.idle_timeout_ms / MILLISECONDS,
            ),
            keys=_index_keys(record, caps),
            faults=faults,
        )

    def decode_target_weights(
        self, key: str, value: bytes
    ) -> TargetWeights | None:
        """Return a model's target weights, None for another kind of row."""
        if not key.startswith(names.WEIGHTS_PREFIX):
            return None
        record = decode_json(value, WeightsRecord)
        return TargetWeights(record.model, record.version)

    def decode_upstream(self, key: str, value: bytes) -> UpstreamEntry:
        """Return the entry of an upstream."""
        record = decode_json(value, UpstreamRecord, MAX_ENTRY_BYTES)
        return UpstreamEntry(
            instance=key,
            service=record.service,
            address=record.address,
            data_centre=record.zone,
            slots=record.slots,
            draining=record.state is EntryState.DRAINING,
            weights={item.name: item.version for item in record.models},
            born=read_born(record.born),
            software_version=_read_software_version(record.version),
        )


def _read_software_version(text: str) -> str | None:
    """Return the version of an upstream's software, None if it is invalid."""
    is_valid = 0 < len(text) <= MAX_NAME_LENGTH and text.isprintable()
    return text if is_valid else None


def _index_routes(
    records: list[RouteRecord],
) -> dict[str, tuple[Route, ...]]:
    hosts: dict[str, list[Route]] = {}
    for record in records:
        route = _read_route(record)
        hosts.setdefault(route.host, []).append(route)
    return {
        host: tuple(
            sorted(routes, key=lambda route: len(route.prefix), reverse=True)
        )
        for host, routes in hosts.items()
    }


def _read_route(record: RouteRecord) -> Route:
    shares = tuple(
        ServiceShare(item.service, item.weight)
        for item in record.traffic_split
    )
    if not shares:
        shares = (ServiceShare(record.service, 1.0),)
    idempotent = record.route_type == IDEMPOTENT
    return Route(
        name=record.name,
        host=record.host.lower(),
        prefix=record.prefix,
        repeat=Repeat.IDEMPOTENT if idempotent else Repeat.ONCE,
        streams=record.route_type == STREAM,
        resumable=record.can_resume,
        timeout_seconds=record.timeout_ms / MILLISECONDS,
        target_seconds=record.target_latency_ms / MILLISECONDS,
        pause_seconds=_read_seconds(record.gap_aim_ms),
        priority=record.priority,
        max_attempts=record.max_attempts,
        open_access=record.auth_exempt,
        shares=shares,
    )


def _read_seconds(milliseconds: float | None) -> float | None:
    return None if milliseconds is None else milliseconds / MILLISECONDS


def _read_service(record: ServiceRecord) -> Service:
    engine = None
    if record.engine is not None:
        engine = EngineConfig(
            slots=record.engine.slots,
            memory_tokens=record.engine.kv_capacity_tokens,
            models=tuple(item.name for item in record.engine.models),
            token_bytes=record.engine.kv_token_bytes,
            link_megabits=record.engine.link_mbps,
        )
    cache_store = None
    if record.kv_store_addr:
        cache_store = CacheStoreConfig(
            record.kv_store_addr,
            record.zone,
            record.kv_capacity_tokens,
            record.link_mbps,
        )
    return Service(record.name, record.max_conns, engine, cache_store)


def _read_caps(
    record: ConfigurationRecord,
) -> tuple[dict[str, UsageCap], tuple[InputRefused, ...]]:
    """Return the valid caps by workspace name, and the faults of others."""
    caps = {}
    faults = []
    for tenant in record.tenants or ():
        try:
            cap = read_cap(tenant)
        except InputRefused as fault:
            faults.append(fault)
            continue
        if cap is not None:
            caps[tenant.name] = cap
    return caps, tuple(faults)


def _index_keys(
    record: ConfigurationRecord, caps: dict[str, UsageCap]
) -> dict[str, Workspace] | None:
    if record.tenants is None:
        return None
    keys = {}
    for tenant in record.tenants:
        workspace = Workspace(
            tenant.name,
            tenant.priority,
            tenant.isolated,
            caps.get(tenant.name),
        )
        keys.update(dict.fromkeys(tenant.api_keys, workspace))
    return keys
