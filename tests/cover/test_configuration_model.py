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

"""Stateful tests of configuration changes under crashes and lost calls.

Routers of two data centres poll a table while operators propose and withdraw
changes to the data centres of one workspace. Hypothesis decides the order and
the outcome of the calls to the table, and when routers stall, crash and
restart. No router may serve the workspace in a data centre that the accepted
configuration forbids, and none may return to an older revision. Two tests
inject a fault and check that the model detects it.
"""

import asyncio
import dataclasses
import datetime
import itertools
import unittest
from unittest import mock

from hypothesis import Phase
from hypothesis import settings
import hypothesis.stateful as stateful
import hypothesis.strategies as st

from lifttrestle.errors import ConditionFailed
from lifttrestle.internal.configuration.change import Change
import lifttrestle.internal.configuration.keeper as keeper_module
from lifttrestle.internal.configuration.keeper import ConfigurationKeeper
from lifttrestle.internal.configuration.model import ItemKind
from lifttrestle.internal.configuration.plan_progress import compute_progress
from lifttrestle.internal.configuration.plan_progress import PlanProgress
from lifttrestle.internal.configuration.planner import make_plan
from lifttrestle.internal.configuration.store import ConfigurationStore
from lifttrestle.internal.configuration.store import Heads
from lifttrestle.internal.configuration.view import View
from lifttrestle.internal.membership.member import Member
from lifttrestle.internal.membership.sponsorship import Sponsorship
from lifttrestle.internal.store.objects import ObjectStore
from lifttrestle.internal.store.vm import Vm
from lifttrestle.internal.store.vm import VmState
from tests.support.gated_model import GatedModel
from tests.support.gated_table import Fate
from tests.support.gated_table import GatedTable

START = datetime.datetime(2026, 12, 6, tzinfo=datetime.timezone.utc)
PLACES = ('silom', 'bangna')
ROUTERS = {'silom-1': 'silom', 'bangna-1': 'bangna', 'bangna-2': 'bangna'}
ANY_ROUTER = st.sampled_from(sorted(ROUTERS))
EXAMPLES = settings(
    max_examples=250,
    stateful_step_count=80,
    derandomize=True,
    database=None,
    deadline=None,
    report_multiple_bugs=False,
)
FAULTY_EXAMPLES = settings(
    EXAMPLES, max_examples=1500, phases=(Phase.generate,)
)


class NoObjects(ObjectStore):
    """Fails if used; no change of this model is large enough for an object."""

    async def put(self, key: str, body: bytes) -> None:
        raise NotImplementedError

    async def get(self, key: str) -> bytes | None:
        raise NotImplementedError


@dataclasses.dataclass(eq=False)
class Router:
    """One router process."""

    member: Member
    keeper: ConfigurationKeeper
    sponsorship: Sponsorship
    polling: asyncio.Task | None = None
    sponsor: 'Router | None' = None
    alive: bool = True
    newest: int = 0

    @property
    def serves(self) -> bool:
        """Return whether the router would serve a request now."""
        keeper = self.keeper
        if not self.alive or not keeper.loaded:
            return False
        covered = self.sponsor is not None and self.sponsor.alive
        return keeper.registered or covered


class ConfigurationModel(GatedModel):
    """Operators, routers, a table and a lagging VM list."""

    KEEPER: type[ConfigurationKeeper] = ConfigurationKeeper

    def __init__(self) -> None:
        super().__init__()
        self.operators = ConfigurationStore(self.gate.table, NoObjects())
        self.routers: dict[str, Router] = {}
        self.vms = {
            f'vm-{name}': Vm(f'vm-{name}', place, VmState.LIVE)
            for name, place in ROUTERS.items()
        }
        self.numbers = itertools.count(1)

    @stateful.initialize()
    def begin(self) -> None:
        self.propose(PLACES)
        self.run(self.accept_first())
        for name in sorted(ROUTERS)[:2]:
            self.start(name)

    async def accept_first(self) -> None:
        heads = await self.operators.read_heads()
        plan = await self.operators.read_plan(heads.head.value.plan_id)
        await self.operators.accept(plan, heads, set(), ())

    @stateful.rule(places=st.sampled_from((PLACES, PLACES[:1], PLACES[1:])))
    def propose(self, places: tuple[str, ...]) -> None:
        self.run(self.propose_places(places))

    async def propose_places(self, places: tuple[str, ...]) -> None:
        heads = await self.operators.read_heads()
        if heads.head.value.plan_id:
            return
        revision, document = await self.operators.load_document()
        body = {
            'name': 'daily',
            'data_centres': list(places),
            'token_digests': [],
        }
        change = Change(ItemKind.WORKSPACE, 'daily', body)
        plan_id = f'{next(self.numbers):04x}'
        plan = make_plan(plan_id, revision, document, (change,), 'x', START)
        await self.operators.save_draft(plan)
        draft = await self.operators.read_plan(plan_id)
        await self.operators.propose(draft, heads.head)

    @stateful.rule()
    def withdraw(self) -> None:
        self.run(self.withdraw_pending())

    async def withdraw_pending(self) -> None:
        heads = await self.operators.read_heads()
        if not heads.head.value.plan_id:
            return
        plan = await self.operators.read_plan(heads.head.value.plan_id)
        try:
            await self.operators.withdraw(plan, heads.head)
        except ConditionFailed:
            pass

    @stateful.rule(name=ANY_ROUTER)
    def start(self, name: str) -> None:
        known = self.routers.get(name)
        if known is not None and known.alive:
            return
        place = ROUTERS[name]
        self.vms[f'vm-{name}'] = Vm(f'vm-{name}', place, VmState.LIVE)
        instance = f'{name}-{next(self.numbers)}'
        member = Member(instance, name, f'vm-{name}', place, '-')
        store = ConfigurationStore(
            GatedTable(self.gate, instance), NoObjects()
        )
        sponsorship = Sponsorship()
        keeper = self.KEEPER(store, member, 1.0, sponsorship)
        self.routers[name] = Router(member, keeper, sponsorship)

    @stateful.rule(name=ANY_ROUTER)
    def poll(self, name: str) -> None:
        router = self.routers.get(name)
        if router is None or not router.alive:
            return
        if router.polling is None or router.polling.done():
            router.polling = self.loop.create_task(router.keeper.poll())
        self.settle()

    @stateful.rule(name=ANY_ROUTER)
    def poll_through(self, name: str) -> None:
        # One router's poll from its first call to its last.
        self.poll(name)
        router = self.routers.get(name)
        if router is None:
            return
        instance = router.member.instance
        for _ in range(12):
            for call in [c for c in self.gate.calls if c.caller == instance]:
                self.run(self.gate.decide(call, Fate.ANSWERED))
            self.settle()

    @stateful.rule(name=ANY_ROUTER, listed=st.booleans())
    def crash(self, name: str, listed: bool) -> None:
        router = self.routers.get(name)
        if router is None or not router.alive:
            return
        router.alive = False
        if router.polling is not None:
            router.polling.cancel()
        self.settle()
        self.gate.forget(router.member.instance)
        if not listed:
            del self.vms[f'vm-{name}']

    @stateful.rule(name=ANY_ROUTER)
    def see_vms(self, name: str) -> None:
        router = self.routers.get(name)
        if router is not None:
            router.keeper.platform_status.vms = dict(self.vms)
            router.sponsorship.drop_gone(set(self.vms))

    @stateful.rule(one=ANY_ROUTER, two=ANY_ROUTER)
    def greet(self, one: str, two: str) -> None:
        asker = self.routers.get(one)
        asked = self.routers.get(two)
        if asker is None or asked is None or asker is asked:
            return
        if not asker.alive or not asked.alive:
            return
        if asker.member.data_centre == asked.member.data_centre:
            self.exchange(asker, asked)

    def exchange(self, asker: Router, asked: Router) -> None:
        view = asker.keeper.view
        if asked.keeper.registered and not asker.keeper.registered:
            asked.sponsorship.add(asker.member)
            asker.sponsor = asked
        plan_id = view.proposal.plan_id if view.proposal else ''
        asked.sponsorship.update(
            asker.member.instance, plan_id, asker.keeper.registered
        )
        if not asked.keeper.loaded:
            return
        known = asked.keeper.view
        if not asker.keeper.loaded:
            asker.keeper.apply_document(
                known.revision, known.accepted, known.proposal
            )
            return
        changes = asked.keeper.list_changes_after(view.revision)
        asker.keeper.apply_changes(changes or [])
        if known.proposal is not None and asked.keeper.registered:
            asker.keeper.apply_proposal(known.proposal)

    @stateful.invariant()
    def check_places(self) -> None:
        if not self.routers:
            return
        _, accepted = self.run(self.operators.load_document())
        allowed = accepted.workspaces['daily'].data_centres
        for router in self.routers.values():
            if not router.serves:
                continue
            place = router.member.data_centre
            if place in get_places(router.keeper.view):
                assert place in allowed, f'{router.member.name} serves {place}'

    @stateful.invariant()
    def check_revisions(self) -> None:
        for router in self.routers.values():
            revision = router.keeper.view.revision
            assert revision >= router.newest
            router.newest = revision


def get_places(view: View) -> tuple[str, ...]:
    """Return the data centres in which a view allows the workspace."""
    workspace = view.document.workspaces.get('daily')
    return workspace.data_centres if workspace else ()


class EarlyAcknowledgingKeeper(ConfigurationKeeper):
    """Acknowledges a proposal before enforcing it, which is a fault."""

    async def _handle_proposal(self, heads: Heads) -> None:
        plan_id = heads.head.value.plan_id
        if plan_id and self._acknowledged != plan_id:
            await self._acknowledge(plan_id)
            return
        await super()._handle_proposal(heads)


class TestConfiguration(unittest.TestCase):
    def check(
        self, keeper: type[ConfigurationKeeper], examples: settings
    ) -> None:
        machine = type('Model', (ConfigurationModel,), {'KEEPER': keeper})
        stateful.run_state_machine_as_test(machine, settings=examples)

    def test_no_router_violates_or_reverts_an_accepted_change(self) -> None:
        self.check(ConfigurationKeeper, EXAMPLES)

    def test_model_detects_an_early_acknowledgement(self) -> None:
        with self.assertRaises(AssertionError):
            self.check(EarlyAcknowledgingKeeper, FAULTY_EXAMPLES)

    def test_model_detects_acceptance_without_silent_routers(self) -> None:
        def count_silent_as_gone(plan, members, acknowledged, vms):  # noqa
            progress = compute_progress(plan, members, acknowledged, vms)
            return PlanProgress((), (*progress.gone, *progress.waiting))

        with mock.patch.object(
            keeper_module, 'compute_progress', autospec=True
        ) as compute:
            compute.side_effect = count_silent_as_gone
            with self.assertRaises(AssertionError):
                self.check(ConfigurationKeeper, FAULTY_EXAMPLES)


if __name__ == '__main__':
    unittest.main()
