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

"""The sections of a router's settings file."""

import msgspec


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The base of every section: immutable, unknown keys refused."""


class RouterSection(Section, frozen=True):
    """Who this router is and where it runs."""

    name: str
    vm: str
    data_centre: str


class ListenSection(Section, frozen=True):
    """The addresses on which the router listens; port 0 picks a free one."""

    callers: str
    operators: str
    peers: str


class PlatformSection(Section, frozen=True):
    """Where the platform's services are, and how long a call may take.

    :ivar token_file: a file with the bearer token to send, or empty.
    """

    table: str
    objects: str
    vms: str
    timeout_seconds: float = 2.0
    token_file: str = ''


class PeersSection(Section, frozen=True):
    """Routers of the same data centre to ask while the platform is out."""

    seeds: tuple[str, ...] = ()
    exchange_seconds: float = 1.0


class TlsSection(Section, frozen=True):
    """Certificate and key files for each door; empty means plain TCP."""

    callers_certificate: str = ''
    callers_key: str = ''
    operators_certificate: str = ''
    operators_key: str = ''


class OperatorsSection(Section, frozen=True):
    """Where the operators' tokens are kept."""

    tokens_file: str = ''


class StatsdSection(Section, frozen=True):
    """Where metrics go; without a host they are dropped."""

    host: str = ''
    port: int = 8125
    prefix: str = 'lifttrestle'


class LogSection(Section, frozen=True):
    """How much is logged."""

    level: str = 'info'


class DeadlinesSection(Section, frozen=True):
    """Times in seconds within which the steps of a request must end.

    :ivar request: from the request's head to the first byte of its answer.
    :ivar connect: one connection attempt to an upstream.
    :ivar first_byte: from sending to the head of an upstream's answer.
    :ivar stall: the longest silence within a stream.
    """

    request: float = 60.0
    connect: float = 1.0
    first_byte: float = 30.0
    stall: float = 20.0


class AdmissionSection(Section, frozen=True):
    """Bounds on the work that the router accepts.

    :ivar running: requests that the router works on at the same time.
    :ivar queue: requests that may wait for their turn.
    :ivar retry_share: retries allowed per request, over time.
    """

    running: int = 1000
    queue: int = 256
    retry_share: float = 0.1


class StopSection(Section, frozen=True):
    """How a planned stop goes.

    :ivar notice_seconds: how long the listener stays open while the
        balancer learns that the router is leaving.
    :ivar grace_seconds: how long all that follows the notice may take:
        running requests first, then records and leaving the list.
    """

    notice_seconds: float = 5.0
    grace_seconds: float = 600.0


class ControlSection(Section, frozen=True):
    """How often the control tasks look at the platform and upstreams."""

    table_poll_seconds: float = 1.0
    vms_poll_seconds: float = 1.0
    probe_seconds: float = 0.5
    clock_error_seconds: float = 1.0
    hold_seconds: float = 5.0
