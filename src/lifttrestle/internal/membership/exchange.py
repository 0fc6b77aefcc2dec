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

"""Exchanges greetings and replies with peer routers over pynng sockets."""

import asyncio
from collections.abc import Callable
import logging
import random

import msgspec
import pynng

from lifttrestle.internal.configuration.document import Document
from lifttrestle.internal.configuration.keeper import ConfigurationKeeper
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.membership.member import Member
from lifttrestle.internal.membership.messages import Greeting
from lifttrestle.internal.membership.messages import Reply
from lifttrestle.internal.membership.peers import Peers
from lifttrestle.internal.membership.sponsorship import Sponsorship

LOG = logging.getLogger('lifttrestle.peers')
REQUEST_TIMEOUT_MILLISECONDS = 1000
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
PEERS_PER_ROUND = 2


class PeerExchange:
    """Owns the sockets to the other routers of the data centre.

    :ivar leaving: whether this router is stopping; sent to all peers.
    :ivar last_sponsored_at: monotonic time of the last reply in which a peer
        sponsored this router, or minus infinity.
    """

    def __init__(
        self,
        member: Member,
        keeper: ConfigurationKeeper,
        peers: Peers,
        sponsorship: Sponsorship,
        seeds: tuple[str, ...],
        source: random.Random,
    ) -> None:
        self.leaving = False
        self.last_sponsored_at = float('-inf')
        self._member = member
        self._keeper = keeper
        self._peers = peers
        self._sponsorship = sponsorship
        self._seeds = seeds
        self._source = source
        self._listener: pynng.Rep0 | None = None

    def start(self, address: Address) -> Address:
        """Listen for greetings and return the bound address."""
        self._listener = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        self._listener.listen(f'tcp://{address}')
        port = self._listener.listeners[0].local_address.port
        # pynng returns the port in network byte order.
        host_order = int.from_bytes(port.to_bytes(2, 'little'), 'big')
        return Address(address.host, host_order)

    def set_member(self, member: Member) -> None:
        """Set the entry of this router, once its bound address is known."""
        self._member = member

    def stop(self) -> None:
        """Close the listening socket."""
        if self._listener is not None:
            self._listener.close()

    async def answer_greetings(self) -> None:
        """Answer greetings of peers until the socket is closed."""
        assert self._listener is not None
        while True:
            try:
                message = await self._listener.arecv()
                greeting = msgspec.msgpack.decode(message, type=Greeting)
                reply = self._build_reply(greeting)
                await self._listener.asend(msgspec.msgpack.encode(reply))
            except pynng.Closed:
                return
            except (pynng.NNGException, msgspec.MsgspecError) as error:
                LOG.warning('peers: failed to answer a greeting: %s', error)

    async def greet_random_peers(self, now: float) -> None:
        """Greet a few randomly chosen peers and apply their replies."""
        addresses = self._list_addresses()
        count = min(PEERS_PER_ROUND, len(addresses))
        for address in self._source.sample(addresses, count):
            reply = await self._greet(address)
            if reply is not None:
                self._try_to_apply(reply, address, now)

    def _try_to_apply(self, reply: Reply, address: str, now: float) -> None:
        try:
            self._apply_reply(reply, now)
        except msgspec.MsgspecError as error:
            LOG.warning(
                'peers: the reply of %s is not applied, as this release does'
                ' not know all of its items: %s',
                address,
                error,
            )

    def _list_addresses(self) -> list[str]:
        registered = [
            member.peers
            for member in self._keeper.platform_status.members.routers
            if member.data_centre == self._member.data_centre
        ]
        known = {*registered, *self._seeds, *self._peers.list_addresses()}
        return sorted(known - {self._member.peers})

    async def _greet(self, address: str) -> Reply | None:
        greeting = self._build_greeting()
        try:
            with pynng.Req0(
                send_timeout=REQUEST_TIMEOUT_MILLISECONDS,
                recv_timeout=REQUEST_TIMEOUT_MILLISECONDS,
                recv_max_size=MAX_MESSAGE_BYTES,
            ) as socket:
                socket.dial(f'tcp://{address}', block=False)
                await socket.asend(msgspec.msgpack.encode(greeting))
                message = await socket.arecv()
            return msgspec.msgpack.decode(message, type=Reply)
        except (pynng.NNGException, msgspec.MsgspecError) as error:
            LOG.debug('peers: no reply from %s: %s', address, error)
            return None

    def _build_greeting(self) -> Greeting:
        view = self._keeper.view
        return Greeting(
            member=self._member,
            revision=view.revision if self._keeper.loaded else -1,
            plan_id=view.proposal.plan_id if view.proposal else '',
            registered=self._keeper.registered,
            wants_sponsor=not self._keeper.registered,
            leaving=self.leaving,
        )

    def _build_reply(self, greeting: Greeting) -> Reply:
        keeper = self._keeper
        view = keeper.view
        self._peers.update(greeting.member, greeting.leaving)
        sponsors = self._update_sponsorship(greeting)
        changes = None
        document = None
        if keeper.loaded and greeting.revision < view.revision:
            changes = keeper.list_changes_after(greeting.revision)
            if changes is None or greeting.revision < 0:
                changes = None
                document = view.accepted.list_changes()
        elif keeper.loaded and greeting.revision < 0:
            document = view.accepted.list_changes()
        return Reply(
            member=self._member,
            revision=view.revision if keeper.loaded else -1,
            registered=keeper.registered,
            sponsors=sponsors,
            leaving=self.leaving,
            proposal=view.proposal,
            changes=tuple(changes or ()),
            document=document,
        )

    def _update_sponsorship(self, greeting: Greeting) -> bool:
        instance = greeting.member.instance
        can_sponsor = self._keeper.registered and not self.leaving
        if greeting.wants_sponsor and can_sponsor:
            self._sponsorship.add(greeting.member)
        self._sponsorship.update(
            instance, greeting.plan_id, greeting.registered
        )
        return greeting.wants_sponsor and can_sponsor

    def _apply_reply(self, reply: Reply, now: float) -> None:
        self._peers.update(reply.member, reply.leaving)
        if reply.sponsors:
            self.last_sponsored_at = now
        if reply.document is not None:
            document = Document().apply(reply.document)
            self._keeper.apply_document(
                reply.revision, document, reply.proposal
            )
        self._keeper.apply_changes(list(reply.changes))
        if reply.proposal is not None and reply.registered:
            self._keeper.apply_proposal(reply.proposal)


async def exchange_forever(
    exchange: PeerExchange, get_now: Callable[[], float], seconds: float
) -> None:
    """Greet peers every ``seconds`` until the task is cancelled."""
    while True:
        await exchange.greet_random_peers(get_now())
        await asyncio.sleep(seconds)
