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

"""Implements the fleet's interface for reports of and orders to engines.

Calls share the connections of requests, since opening new ones is expensive.
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
from lifttrestle.internal.http.head import ResponseHead
from lifttrestle.internal.http.json_client import JsonClient
from lifttrestle.internal.intake.decoding import decode_json
from lifttrestle.internal.platform import names
from lifttrestle.internal.platform.records import read_born
from lifttrestle.internal.platform.records import ReportRecord
from lifttrestle.internal.platform.upstream_departure import read_leaving
from lifttrestle.internal.platform.upstream_limit import read_limit
from lifttrestle.internal.platform.upstream_pause import read_pause

STATUS_OK = 200
MAX_ANSWER_BYTES = 1024 * 1024
# If its running requests finish first, an engine starts no others until its
# longest stream ends, three seconds per load. If they continue, it is
# unavailable only during the load itself (0.6 s), so that enough engines
# remain with three versions in ten seconds: over three days with three seeds,
# mean worth was 0.478 instead of 0.390, and the callers got 0.46 instead of
# 0.24 of what they are owed in their worst two seconds. The disadvantage is
# that such streams end on other weights than they started on.
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
    """Sends calls of the platform's interface to engines.

    :param timeout_seconds: timeout of one call.
    """

    def __init__(self, clock: Clock, timeout_seconds: float) -> None:
        self._clock = clock
        self._timeout_seconds = timeout_seconds

    async def read_state(self, engine: FleetUpstream) -> EngineState:
        """Return the state that an engine reports, some hundred ms old.

        :raises PlatformUnavailable: if the engine sends no valid report.
        """
        answer = await self._call(engine, 'GET', names.REPORT_PATH, None)
        if answer.status != STATUS_OK:
            raise PlatformUnavailable(
                f'{engine.instance} answered {answer.status} to a report call'
            )
        try:
            record = decode_json(answer.body, ReportRecord)
        except InputRefused as error:
            raise PlatformUnavailable(
                f'{engine.instance} sent an invalid report: {error}'
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
        """Send a load order to an engine."""
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
            max_answer_bytes=MAX_ANSWER_BYTES,
            is_foreign=_answers_request,
        )
        headers = [(names.EXPECT_INSTANCE, engine.instance)]
        if content is not None:
            headers.append(('content-type', 'application/json'))
        sent_at = self._clock.monotonic()
        answer = await client.call(method, path, content, tuple(headers))
        if answer.status != names.STATUS_OTHER_INSTANCE:
            self.note_limit(engine, read_limit(answer.headers), sent_at)
            self._note_announced(engine, answer)
        return answer

    def _note_announced(self, engine: FleetUpstream, answer: Answer) -> None:
        """Record what an engine announces about itself in an answer."""
        now = self._clock.monotonic()
        if read_leaving(answer.headers):
            engine.departure.note_announced(now)
        seconds, _ = read_pause(ResponseHead(answer.status, answer.headers))
        if seconds is not None:
            engine.rejections.note_requested(seconds, now)


def _answers_request(head: ResponseHead) -> bool:
    """Return whether an answer belongs to a request, as calls have no id."""
    return bool(head.get_header(names.REQUEST_ID))
