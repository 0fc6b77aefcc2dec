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
    """Base class of the sections; immutable, rejects unknown keys."""


class RouterSection(Section, frozen=True):
    """Name and location of this router."""

    name: str
    vm: str
    data_centre: str


class ListenSection(Section, frozen=True):
    """Addresses to listen on (``IP:PORT``); port 0 picks a free port."""

    callers: str
    operators: str
    peers: str


class PlatformSection(Section, frozen=True):
    """Addresses of the platform's services and the timeout of their calls.

    :ivar table: the address of the transactional table service.
    :ivar objects: the address of the object store.
    :ivar vms: the address of the VM list.
    :ivar token_file: a file with the bearer token to send; empty for none.
    """

    table: str
    objects: str
    vms: str
    timeout_seconds: float = 2.0
    token_file: str = ''


class PeersSection(Section, frozen=True):
    """Exchange of state with other routers.

    :ivar seeds: addresses of routers in the same data centre that are
        contacted even if the platform is unavailable.
    :ivar exchange_seconds: the interval between two exchanges.
    """

    seeds: tuple[str, ...] = ()
    exchange_seconds: float = 1.0


class TlsSection(Section, frozen=True):
    """Certificate and key files of each listener; empty for plain TCP."""

    callers_certificate: str = ''
    callers_key: str = ''
    operators_certificate: str = ''
    operators_key: str = ''


class OperatorsSection(Section, frozen=True):
    """Access control of the operators' interface.

    :ivar tokens_file: a file with the operators' tokens; empty for none.
    """

    tokens_file: str = ''


class StatsdSection(Section, frozen=True):
    """Destination of metrics; without a host they are discarded."""

    host: str = ''
    port: int = 8125
    prefix: str = 'lifttrestle'


class LogSection(Section, frozen=True):
    """Logging.

    :ivar level: the lowest level that is logged.
    """

    level: str = 'info'


class DeadlinesSection(Section, frozen=True):
    """Timeouts in seconds for the steps of a request.

    :ivar request: from the request's head to the first byte of its answer.
    :ivar connect: for one connection attempt to an upstream.
    :ivar first_byte: from sending to the head of an upstream's answer.
    :ivar stall: the longest pause between two parts of a stream.
    """

    request: float = 60.0
    connect: float = 1.0
    first_byte: float = 30.0
    stall: float = 20.0


class AdmissionSection(Section, frozen=True):
    """Limits on the requests that the router accepts.

    :ivar running: the maximum number of concurrent requests.
    :ivar queue: the maximum number of queued requests.
    :ivar retry_share: retries credited per request to the retry budget.
    """

    running: int = 1000
    queue: int = 256
    retry_share: float = 0.1


class StopSection(Section, frozen=True):
    """Timeouts of a graceful shutdown.

    :ivar notice_seconds: how long the listener stays open, so that the load
        balancer can detect that the router is about to stop.
    :ivar grace_seconds: the time for all steps after that: the running
        requests end, then pending records are written and the router is
        removed from the list of routers.
    """

    notice_seconds: float = 5.0
    grace_seconds: float = 600.0


class ControlSection(Section, frozen=True):
    """Intervals and tolerances of the control tasks.

    :ivar table_poll_seconds: the interval between reads of the table.
    :ivar vms_poll_seconds: the interval between reads of the VM list.
    :ivar probe_seconds: the interval between probes of an upstream.
    :ivar clock_error_seconds: the bound assumed on the error of the
        routers' clocks.
    :ivar hold_seconds: how long a request may wait while the definition
        that it needs is being changed.
    """

    table_poll_seconds: float = 1.0
    vms_poll_seconds: float = 1.0
    probe_seconds: float = 0.5
    clock_error_seconds: float = 1.0
    hold_seconds: float = 5.0
