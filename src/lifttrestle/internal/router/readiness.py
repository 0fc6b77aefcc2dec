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

"""Whether a router may serve requests and should be sent new ones."""

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.configuration.keeper import ConfigurationKeeper
from lifttrestle.internal.membership.exchange import PeerExchange
from lifttrestle.internal.refusal.kind import ErrorKind
from lifttrestle.internal.router.planned_stop import PlannedStop

# How long an unregistered router serves after its sponsor's last reply.
SPONSOR_TIMEOUT_SECONDS = 3.0
RETRY_SECONDS = 1.0


class Readiness:
    """Checks whether the configuration is current and no stop has begun."""

    def __init__(
        self,
        keeper: ConfigurationKeeper,
        exchange: PeerExchange,
        clock: Clock,
        stop: PlannedStop,
    ) -> None:
        self._keeper = keeper
        self._exchange = exchange
        self._clock = clock
        self._stop = stop

    def can_serve(self) -> bool:
        """Return whether no change can be accepted without this router.

        Each registered router has to acknowledge a change. One that could not
        register is covered by its sponsor as long as the sponsor replies.
        """
        if not self._keeper.loaded:
            return False
        if self._keeper.registered:
            return True
        silence = self._clock.monotonic() - self._exchange.last_sponsored_at
        return silence <= SPONSOR_TIMEOUT_SECONDS

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        return self.can_serve() and not self._stop.begun

    def check(self) -> None:
        """Refuse a request if the router may not serve.

        :raises RequestRefused: if the configuration in force is not known.
        """
        if not self.can_serve():
            raise RequestRefused(
                ErrorKind.NOT_CONFIGURED,
                'this router does not know the configuration in force yet',
                retry_after=RETRY_SECONDS,
            )
