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

"""The interface between the router and one kind of engine.

All engines share the chat and completion API. Features without a published
standard, such as incarnations, resumption of streams, draining and load
orders, differ between engines and are implemented by subclasses.
"""

import abc

from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.head import ResponseHead
from lifttrestle.internal.upstream.identity import EngineIdentity
from lifttrestle.internal.upstream.order import EngineOrder
from lifttrestle.internal.upstream.report import EngineReport


class EngineDriver(abc.ABC):
    """Translates between the router and one kind of engine."""

    @abc.abstractmethod
    def build_probe(self) -> RequestHead:
        """Return the request that queries the engine's state."""

    @abc.abstractmethod
    def decode_report(self, body: bytes) -> EngineReport:
        """Return the state in the body of an answer to a probe.

        :raises ValueError: if the body is not a valid state.
        """

    @abc.abstractmethod
    def decode_identity(self, head: ResponseHead) -> EngineIdentity:
        """Return which engine answered; missing headers give empty fields."""

    @abc.abstractmethod
    def is_draining(self, head: ResponseHead) -> bool:
        """Return whether an answer is a refusal because the engine drains."""

    @abc.abstractmethod
    def build_resume(
        self, identity: EngineIdentity, last_index: int, request_id: str
    ) -> RequestHead:
        """Return the request for the events after ``last_index``."""

    @abc.abstractmethod
    def build_cancel(self, identity: EngineIdentity) -> RequestHead:
        """Return the request that cancels a generation nobody reads."""

    @abc.abstractmethod
    def build_order(self, order: EngineOrder) -> tuple[RequestHead, bytes]:
        """Return head and body of the request that sends a load order."""
