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

"""Reports of and orders to engines, behind the fleet's interface.

Calls go over the connections that requests use, since new ones are dear.
"""

from lifttrestle.errors import InputRefused
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.loads.engine_control import EngineControl
from lifttrestle.internal.fleet.loads.engine_control import EngineState
from lifttrestle.internal.fleet.loads.engine_control import LoadOrder
from lifttrestle.internal.fleet.loads.engine_control import OrderOutcome
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.json_client import JsonClient
from lifttrestle.internal.intake.decoding import decode_json
from lifttrestle.internal.platform import names
from lifttrestle.internal.platform.records import read_born
from lifttrestle.internal.platform.records import ReportRecord
from lifttrestle.internal.platform.upstream_limit import read_limit

STATUS_OK = 200
# An engine whose runs finish first begins nothing for as long as the longest
# stream lasts, three seconds a load, while one that lets them go on is away
# for the load itself (0.6 s). Three versions in ten seconds then leave enough
# engines: mean worth 0.478 against 0.390 over three days of three seeds, and
# the callers' worst two seconds at 0.46 of what is owed in place of 0.24. Its
# price is that such streams end on other weights than they began on.
SWITCH_MODE = names.MODE_RETAIN
OUTCOMES = {
    200: OrderOutcome.ALREADY_LOADED,
    202: OrderOutcome.ACCEPTED,
    400: OrderOutcome.REFUSED,
    409: OrderOutcome.OTHER_ORDER,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.OTHER_INSTANCE,
}


class PlatformEngineControl(EngineControl):
    """Calls engines.

    :param timeout_seconds: for one call.
    """

    def __init__(self, clock: Clock, timeout_seconds: float) -> None:
        self._clock = clock
        self._timeout_seconds = timeout_seconds

    async def read_state(self, engine: FleetUpstream) -> EngineState:
        """Return an engine's own state of some hundred milliseconds ago."""
        answer = await self._call(engine, 'GET', names.REPORT_PATH, None)
        if answer.status != STATUS_OK:
            raise PlatformUnavailable(
                f'{engine.instance} answered {answer.status} to a report'
            )
        try:
            record = decode_json(answer.body, ReportRecord)
        except InputRefused as error:
            raise PlatformUnavailable(
                f'{engine.instance} gave an unreadable report: {error}'
            ) from error
        return EngineState(
            weights={item.name: item.version for item in record.models},
            loading=record.busy,
            orders_accepted=record.seq_no,
            waiting=record.waiting,
            running=record.running,
            born=read_born(record.born),
        )

    async def send_load(
        self, engine: FleetUpstream, order: LoadOrder
    ) -> OrderOutcome:
        """Order an engine to load weights."""
        content = {
            'op': names.ORDER_LOAD,
            'model': order.model,
            'version': order.version,
            'switch_mode': SWITCH_MODE,
            'holder': order.holder,
            'fence': order.fence,
            'expected': order.orders_accepted,
        }
        answer = await self._call(engine, 'POST', names.ORDER_PATH, content)
        return OUTCOMES.get(answer.status, OrderOutcome.UNKNOWN)

    async def _call(
        self, engine: FleetUpstream, method: str, path: str, content: object
    ) -> Answer:
        client = JsonClient(
            engine.pool.address,
            self._clock,
            self._timeout_seconds,
            pool=engine.pool,
        )
        headers = [(names.EXPECT_INSTANCE, engine.instance)]
        if content is not None:
            headers.append(('content-type', 'application/json'))
        sent_at = self._clock.monotonic()
        answer = await client.call(method, path, content, tuple(headers))
        if answer.status != names.STATUS_OTHER_INSTANCE:
            self.note_limit(engine, read_limit(answer.headers), sent_at)
        return answer
