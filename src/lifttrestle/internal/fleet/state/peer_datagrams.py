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

"""Sends and receives the datagrams between routers."""

import asyncio
from collections.abc import Callable

from lifttrestle.internal.fleet.state.load_messages import decode_message
from lifttrestle.internal.fleet.state.load_messages import encode_message
from lifttrestle.internal.fleet.state.load_messages import LoadMessage
from lifttrestle.internal.fleet.state.load_messages import MAX_DATAGRAM_BYTES
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.address import parse_address
from lifttrestle.internal.intake.refusals import InputRefusals
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('peers')


class PeerDatagrams(asyncio.DatagramProtocol):
    """Dispatches received messages to the handlers of their types."""

    def __init__(
        self, roster: Roster, refusals: InputRefusals | None = None
    ) -> None:
        self._roster = roster
        self._refusals = refusals or InputRefusals()
        self._transport: asyncio.DatagramTransport | None = None
        self._handlers: dict[type, Callable[..., None]] = {}

    def add_handler(self, kind: type, handle: Callable[..., None]) -> None:
        """Register the handler of one message type."""
        self._handlers[kind] = handle

    async def start(self, address: Address) -> Address:
        """Bind to an address and return the address in use."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.host, address.port)
        )
        self._transport = transport
        host, port = transport.get_extra_info('sockname')[:2]
        return Address(host, port)

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, address: object) -> None:
        """Handle a datagram; an undecodable one is dropped and logged."""
        try:
            message = decode_message(data)
        except ValueError as error:
            self._refusals.report('loads', str(address), error)
            return
        handle = self._handlers.get(type(message))
        if handle is not None:
            handle(message)

    def send(self, message: LoadMessage, key: str) -> None:
        """Send a message to a router unless its address is unknown.

        A message above ``MAX_DATAGRAM_BYTES`` is dropped and logged.

        :param key: key of the router in the roster.
        """
        text = self._roster.get_address(key)
        if self._transport is None or not text:
            return
        data = encode_message(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            LOG.warning('peers.message_too_long', bytes=len(data))
            return
        address = parse_address(text)
        self._transport.sendto(data, (address.host, address.port))
