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

"""The driver for engines with the API documented in docs/design."""

import msgspec

from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.head import ResponseHead
from lifttrestle.internal.upstream.driver import EngineDriver
from lifttrestle.internal.upstream.identity import EngineIdentity
from lifttrestle.internal.upstream.order import EngineOrder
from lifttrestle.internal.upstream.report import EngineReport

STATE_PATH = '/lifttrestle/state'
ORDERS_PATH = '/lifttrestle/orders'
STREAMS_PATH = '/lifttrestle/streams/'


class StandardDriver(EngineDriver):
    """Uses headers for the identity and paths below ``/lifttrestle/``."""

    def build_probe(self) -> RequestHead:
        """Return the request that queries the engine's state."""
        return RequestHead('GET', STATE_PATH)

    def decode_report(self, body: bytes) -> EngineReport:
        """Return the state in the body of an answer to a probe."""
        return msgspec.json.decode(body, type=EngineReport)

    def decode_identity(self, head: ResponseHead) -> EngineIdentity:
        """Return which engine answered; missing headers give empty fields."""
        return EngineIdentity(
            head.get_header('x-engine-incarnation'),
            head.get_header('x-engine-version'),
            head.get_header('x-engine-stream'),
        )

    def is_draining(self, head: ResponseHead) -> bool:
        """Return whether an answer is a refusal because the engine drains."""
        return head.get_header('x-engine-draining') == '1'

    def build_resume(
        self, identity: EngineIdentity, last_index: int, request_id: str
    ) -> RequestHead:
        """Return the request for the events after ``last_index``."""
        headers = (
            ('last-event-id', str(last_index)),
            ('x-request-id', request_id),
        )
        return RequestHead('GET', STREAMS_PATH + identity.stream_id, headers)

    def build_cancel(self, identity: EngineIdentity) -> RequestHead:
        """Return the request that cancels a generation nobody reads."""
        return RequestHead('DELETE', STREAMS_PATH + identity.stream_id)

    def build_order(self, order: EngineOrder) -> tuple[RequestHead, bytes]:
        """Return head and body of the request that sends a load order."""
        headers = (('content-type', 'application/json'),)
        head = RequestHead('POST', ORDERS_PATH, headers)
        return head, msgspec.json.encode(order)
