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

"""Routers that load weights, without processes."""

import asyncio
import random

import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.loads.engine_control import EngineControl
from lifttrestle.internal.fleet.loads.engine_control import EngineState
from lifttrestle.internal.fleet.loads.engine_control import OrderOutcome
from lifttrestle.internal.fleet.settings import Promises
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.operator_view import OperatorView
from lifttrestle.internal.fleet.state.roster import FLEET_TABLE
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.weights_view import WeightsView
from lifttrestle.internal.platform.stored_format import PlatformFormat
from tests.support.entries import make_entry

ENGINES = ('e1', 'e2', 'e3', 'e4', 'e5')
MODEL = 'm'


class SleepAdvancingClock(Clock):
    """Clock on a shared time that a sleep advances."""

    def __init__(self, time):
        self._time = time

    def now(self):
        return self._time.now()

    def monotonic(self):
        return self._time.monotonic()

    async def sleep(self, seconds):
        self._time.advance(seconds)


class Engines:
    """Engines of one model that load instantly and record every order.

    :ivar weights: loaded version, by instance.
    :ivar log: when each order was received, its engine and the order.
    :ivar late: orders in transit.
    """

    def __init__(self, time):
        self._time = time
        self.weights = dict.fromkeys(ENGINES, 1)
        self.accepted = dict.fromkeys(ENGINES, 0)
        self.log = []
        self.late = []

    def list_models(self):
        """Return the models of each engine, by instance."""
        return {instance: (MODEL,) for instance in self.weights}

    def read_state(self, instance):
        """Return the state that an engine reports."""
        weights = {MODEL: self.weights[instance]}
        return EngineState(weights, False, self.accepted[instance], 0, 0)

    def take(self, instance, order):
        """Receive an order and return the outcome."""
        self.log.append((self._time.monotonic(), instance, order))
        if order.orders_accepted != self.accepted[instance]:
            return OrderOutcome.OTHER_ORDER
        self.accepted[instance] += 1
        self.load(instance, order)
        return OrderOutcome.ACCEPTED

    def load(self, instance, order):
        """Load the weights that an order names."""
        self.weights[instance] = order.version


class FakeControl(EngineControl):
    """Calls the engines directly; orders can be delayed in transit."""

    def __init__(self, engines):
        self._engines = engines
        self.delays = False

    async def read_state(self, engine):
        return self._engines.read_state(engine.instance)

    async def send_load(self, engine, order):
        if self.delays:
            self._engines.late.append((engine.instance, order))
            raise PlatformUnavailable('no answer')
        return self._engines.take(engine.instance, order)


class Router:
    """The loader of one router with its own view of the shared rows."""

    def __init__(self, name, time, rows, engines, loader_class):
        clock = SleepAdvancingClock(time)
        self.rows = rows
        self.control = FakeControl(engines)
        self.directory = UpstreamDirectory(PlatformFormat(), clock)
        self.view = OperatorView(PlatformFormat(), clock, 8.5)
        self.plans = WeightsView(self.directory, clock)
        self.roster = Roster(rows, clock, name, 'a')
        self._version_read = 0
        for instance, models in engines.list_models().items():
            self.list_engine(instance, models)
        self.loader = loader_class(
            rows,
            self.control,
            self.view,
            self.directory,
            self.plans,
            self.roster,
            Promises(),
            clock,
            random.Random(1),
            name,
        )

    def list_engine(self, instance, models, version=1):
        """Read the entry of an engine that has the first version of models."""
        entry = make_entry(
            models=[{'name': model, 'version': 1} for model in models]
        )
        self.directory.apply_row(
            VersionedRow(instance, msgspec.json.encode(entry), version)
        )

    def hear(self):
        """Apply the changes of the shared table."""
        if self.rows.down:
            return
        changes = asyncio.run(
            self.rows.watch_table(FLEET_TABLE, self._version_read, 0)
        )
        self._version_read = changes.version
        for row in changes.rows:
            self.plans.apply_row(row)

    def name(self, version, model=MODEL):
        """Read which weights of a model the operator wants."""
        content = {'model': model, 'version': version}
        self.view.apply_row(
            VersionedRow(
                f'version/{model}', msgspec.json.encode(content), version
            )
        )

    def act(self):
        """Take the next step of each rollout."""
        for model in self.view.target_weights:
            try:
                asyncio.run(self.loader.advance_rollout(model))
            except (ConditionFailed, PlatformUnavailable):
                continue
