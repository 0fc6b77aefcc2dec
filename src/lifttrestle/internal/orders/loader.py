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

"""Orders engines to load the weights given in the configuration."""

import logging

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.configuration.keeper import ConfigurationKeeper
from lifttrestle.internal.configuration.model import Model
from lifttrestle.internal.configuration.store import ConfigurationStore
from lifttrestle.internal.http.json_client import JsonClient
from lifttrestle.internal.orders.decision import compute_order_number
from lifttrestle.internal.orders.decision import find_orders
from lifttrestle.internal.orders.lease import Lease
from lifttrestle.internal.orders.lease import NOT_HELD
from lifttrestle.internal.upstream.driver import EngineDriver
from lifttrestle.internal.upstream.order import EngineOrder
from lifttrestle.internal.upstream.registry import UpstreamRegistry
from lifttrestle.internal.upstream.state import UpstreamState

LOG = logging.getLogger('lifttrestle.placement')
PERIOD_SECONDS = 0.5
ORDER_TIMEOUT_SECONDS = 30.0


class Loader:
    """Sends load orders to the engines of a data centre.

    A lease selects the one router of the data centre that sends them. The
    answer to an order is only logged: the engine's next report shows whether
    the weights are loaded, and if not, the order is sent again.
    """

    def __init__(
        self,
        lease: Lease,
        keeper: ConfigurationKeeper,
        store: ConfigurationStore,
        registry: UpstreamRegistry,
        driver: EngineDriver,
        clock: Clock,
        data_centre: str,
    ) -> None:
        self._lease = lease
        self._keeper = keeper
        self._store = store
        self._registry = registry
        self._driver = driver
        self._clock = clock
        self._data_centre = data_centre

    async def run(self) -> None:
        """Send due orders periodically until the task is cancelled."""
        while True:
            await self.send_orders()
            await self._clock.sleep(PERIOD_SECONDS)

    async def send_orders(self) -> None:
        """Send the orders that are due, if this router holds the lease."""
        view = self._keeper.view
        orders = find_orders(view, self._registry, self._data_centre)
        if not orders or not self._keeper.registered:
            return
        fencing = await self._lease.acquire()
        if fencing == NOT_HELD or not await self._is_current(view.revision):
            return
        for upstream, model in orders:
            number = compute_order_number(fencing, view.revision)
            await self._send_order(upstream, model, number)

    async def _is_current(self, revision: int) -> bool:
        try:
            head = await self._store.read_head()
        except PlatformUnavailable:
            return False
        return head.value.revision == revision

    async def _send_order(
        self, upstream: UpstreamState, model: Model, number: int
    ) -> None:
        order = EngineOrder(model.name, model.version, number)
        head, body = self._driver.build_order(order)
        client = JsonClient(
            upstream.pool.address, self._clock, ORDER_TIMEOUT_SECONDS
        )
        try:
            answer = await client.call(
                head.method, head.target, body, head.headers
            )
            outcome = f'status {answer.status}'
        except PlatformUnavailable as error:
            outcome = f'no answer: {error}'
        finally:
            client.close()
        LOG.info(
            'placement: upstream=%s data_centre=%s model=%s version=%s'
            ' fencing=%d reason="reports %s" outcome="%s"',
            upstream.name,
            self._data_centre,
            model.name,
            model.version,
            number,
            upstream.get_version(model.name) or 'nothing',
            outcome,
        )
