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

"""Settings of one upstream: what it is, where it is, what it can do."""

import enum

import msgspec


class UpstreamKind(enum.Enum):
    """What stands behind an upstream's address."""

    ENGINE = 'engine'
    SERVICE = 'service'


class UpstreamCapabilities(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """What an upstream offers beyond its published interface.

    :ivar reports_state: it tells its incarnation, versions and drain state.
    :ivar resumes_streams: a stream can be read again from an index.
    :ivar continues_text: it goes on from a partial answer in the request.
    :ivar echoes_request_id: its answers repeat ``x-request-id``.
    :ivar checks_fencing: it refuses orders with an old fencing number.
    :ivar drops_repeats: it runs a request with a known key only once.
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
    :ivar slots: requests that it works on at the same time.
    :ivar prefill_tokens_per_second: a first guess, corrected by answers.
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
