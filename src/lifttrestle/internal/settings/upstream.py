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

"""Settings of one upstream: its kind, location and capabilities."""

import enum

import msgspec


class UpstreamKind(enum.Enum):
    """The kind of server behind the address of an upstream.

    ``ENGINE`` serves models, ``SERVICE`` is a plain HTTP service.
    """

    ENGINE = 'engine'
    SERVICE = 'service'


class UpstreamCapabilities(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Optional features that an upstream supports.

    :ivar reports_state: reports incarnation, versions and drain state.
    :ivar resumes_streams: can resend a stream from a given event index.
    :ivar continues_text: can continue a partial answer in the request.
    :ivar echoes_request_id: returns ``x-request-id`` in its answers.
    :ivar checks_fencing: rejects orders with an outdated fencing number.
    :ivar drops_repeats: deduplicates requests by their idempotency key.
    """

    reports_state: bool = False
    resumes_streams: bool = False
    continues_text: bool = False
    echoes_request_id: bool = False
    checks_fencing: bool = False
    drops_repeats: bool = False


class UpstreamSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """One replica of a model engine or plain service.

    :ivar group: the service that the replica belongs to.
    :ivar slots: the number of requests that it runs concurrently.
    :ivar prefill_tokens_per_second: the estimated prefill rate.
    """

    name: str
    kind: UpstreamKind
    group: str
    data_centre: str
    address: str
    vm: str = ''
    slots: int = 32
    prefill_tokens_per_second: float = 8000.0
    can: UpstreamCapabilities = UpstreamCapabilities()
