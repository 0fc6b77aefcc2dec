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

"""Sizes, addresses and configuration of a deployment that loses power."""

import dataclasses
import itertools
import os

ZONES = ('a', 'b', 'c')
STORE_PORT = 8608
CALLERS_PORT = 8606
READY_PORT = 8607
METRICS_PORT = 9464
INTERNAL_PORTS = (7680, 7695)
REPLICA_PORT = 8080
MODEL = 'm'
ENGINES = 'engines'
PLAIN = 'plain'
# Processes among which the callers of a zone, and all replicas, are divided.
CALLER_PROCESSES = 4
REPLICA_PROCESSES = 16
WEIGHT_EXPONENT = 1.2


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """A kind of request.

    :ivar rate: requests a second of all callers.
    :ivar seconds: the callers' time limit.
    :ivar shared_tokens: mean length of the shared part of the prompt.
    :ivar own_tokens: mean length of the rest of it.
    :ivar output_tokens: mean number of generated tokens.
    :ivar subjects: number of different shared parts.
    :ivar work_seconds: mean duration at a plain replica.
    """

    route: str
    rate: float
    seconds: float
    target_seconds: float
    attempts: int = 1
    shared_tokens: int = 0
    own_tokens: int = 0
    output_tokens: int = 0
    subjects: int = 1
    work_seconds: float = 0.0

    @property
    def streams(self) -> bool:
        """Return whether the answer is a stream."""
        return bool(self.output_tokens)

    @property
    def tokens(self) -> int:
        """Return the mean number of tokens that a request is charged."""
        return self.shared_tokens + self.own_tokens + self.output_tokens


@dataclasses.dataclass(frozen=True)
class Layout:
    """Sizes and addresses; the defaults are those of a large deployment.

    :ivar network: first two numbers of all addresses.
    :ivar seed: of all random choices.
    :ivar load: factor on the rates of all kinds.
    :ivar cap_factor: caps of the workspaces, relative to their usual use.
    :ivar cap_floor: least cap, in tokens a second.
    :ivar cores: number of processor cores that all processes share, 0 for all.
    :ivar first_core: the first of these.
    """

    network: str
    seed: int = 1
    routers: int = 76
    engines: int = 45
    plain_replicas: int = 3
    engine_slots: int = 12
    plain_slots: int = 6
    load: float = 1.0
    workspaces: int = 16
    cap_factor: float = 1.8
    cap_floor: float = 47_000.0
    writes_per_second: float = 1200.0
    reads_per_second: float = 6000.0
    caller_processes: int = CALLER_PROCESSES
    replica_processes: int = REPLICA_PROCESSES
    cores: int = 0
    first_core: int = 0

    @property
    def store_address(self) -> str:
        """Return the address of the store."""
        return f'{self.network}.1.1:{STORE_PORT}'

    def list_kinds(self) -> list[RequestKind]:
        """Return the kinds of requests."""
        return [
            RequestKind(
                'check', 30.2, 10.0, 0.8, 2, 13_300, 3720, 24, subjects=348
            ),
            RequestKind('tidy', 358.0, 5.0, 1.5, 1, 55, 328, 9, subjects=40),
            RequestKind('publish', 59.3, 3.0, 0.3, work_seconds=0.06),
            RequestKind('read', 41.0, 3.0, 0.3, 2, work_seconds=0.06),
        ]

    def list_routers(self) -> list[str]:
        """Return the names of the routers; the zone is the first letter."""
        zones = itertools.cycle(ZONES)
        return [f'{next(zones)}-{n}' for n in range(1, self.routers + 1)]

    def get_host(self, router: str) -> str:
        """Return the address of a router's machine."""
        zone, _, number = router.partition('-')
        return f'{self.network}.{10 + ZONES.index(zone)}.{number}'

    def get_replica_address(self, service: str, number: int) -> str:
        """Return the address of a replica."""
        third = 20 if service == ENGINES else 21
        return f'{self.network}.{third}.{number + 1}:{REPLICA_PORT}'

    def list_workspace_shares(self) -> list[float]:
        """Return the shares of the workspaces; a few are large."""
        weights = [
            (number + 1) ** -WEIGHT_EXPONENT
            for number in range(self.workspaces)
        ]
        return [weight / sum(weights) for weight in weights]

    def build_configuration(self) -> dict[str, object]:
        """Return the operator's configuration."""
        return {
            'version': 3,
            'routes': [self._build_route(kind) for kind in self.list_kinds()],
            'services': [
                {'name': PLAIN, 'max_conns': 520},
                {
                    'name': ENGINES,
                    'max_conns': 570,
                    'engine': {
                        'slots': self.engine_slots,
                        'kv_capacity_tokens': 146_048,
                        'kv_token_bytes': 327_680.0,
                        'link_mbps': 280_000.0,
                        'models': [{'name': MODEL}],
                    },
                },
            ],
            'limits': {'max_body_bytes': 4_194_304},
            'tenants': self._build_workspaces(),
        }

    def _build_route(self, kind: RequestKind) -> dict[str, object]:
        return {
            'name': kind.route,
            'host': 'shop.example',
            'prefix': f'/{kind.route}/',
            'route_type': self._get_route_type(kind),
            'timeout_ms': kind.seconds * 1000,
            'target_latency_ms': kind.target_seconds * 1000,
            'priority': 0 if kind.route == 'check' else 2,
            'service': ENGINES if kind.streams else PLAIN,
            'max_attempts': kind.attempts,
            'can_resume': kind.route == 'check',
            'sticky': kind.streams,
            **({'gap_aim_ms': 400} if kind.streams else {}),
        }

    def _get_route_type(self, kind: RequestKind) -> str:
        if kind.streams:
            return 'stream'
        return 'idempotent' if kind.route == 'read' else 'non_idempotent'

    def _build_workspaces(self) -> list[dict[str, object]]:
        tokens = sum(kind.rate * kind.tokens for kind in self.list_kinds())
        workspaces = []
        for number, share in enumerate(self.list_workspace_shares()):
            rate = max(self.cap_factor * share * tokens, self.cap_floor)
            workspaces.append(
                {
                    'name': f'w{number}',
                    'api_keys': [f'k{number}'],
                    'isolated': number % 3 == 0,
                    'rate_per_s': rate,
                    'burst': 2 * rate,
                    'unit': 'token_count',
                    'plain_tokens': 200,
                }
            )
        return workspaces


def choose_network() -> str:
    """Return the first two numbers of addresses that no other run uses."""
    return f'127.{20 + os.getpid() % 230}'
