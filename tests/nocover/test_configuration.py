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

"""Tests of the propagation of configuration changes to all routers."""

import concurrent.futures
import os
import pathlib
import signal
import subprocess
import sys
import time
import unittest

from tests.support.deployment import Deployment
from tests.support.deployment import digest
from tests.support.deployment import model
from tests.support.deployment import OPERATOR_TOKEN
from tests.support.deployment import request
from tests.support.deployment import Router
from tests.support.deployment import wait_until
from tests.support.deployment import workspace
from tests.support.relay import Relay

TOKEN = 'daily-token'
SILOM = 'bkk-silom'
BANGNA = 'bkk-bangna'


class ConfigurationTestCase(unittest.TestCase):
    """Deploys ``ROUTERS`` routers in each of two data centres."""

    ROUTERS = 1

    def setUp(self) -> None:
        self.deployment = Deployment(
            (SILOM, BANGNA), engines=1, routers=self.ROUTERS
        )
        self.enterContext(self.deployment)
        self.deployment.configure_usual()
        self.silom = self.deployment.routers[f'{SILOM}-1']
        self.bangna = self.deployment.routers[f'{BANGNA}-1']

    def plan(self, *changes: dict, router: Router | None = None) -> str:
        reply = self.deployment.call_intent_api(
            router or self.silom,
            'POST',
            '/intent/plans',
            changes=list(changes),
        )
        self.assertEqual(reply.status, 201, reply.body)
        return reply.json()['plan']['plan_id']

    def confirm(
        self, plan_id: str, wait: float = 5.0, router: Router | None = None
    ):  # noqa: ANN201
        return self.deployment.call_intent_api(
            router or self.silom,
            'POST',
            f'/intent/plans/{plan_id}/confirm',
            wait_seconds=wait,
        )

    def get_state(self, plan_id: str) -> str:
        reply = self.deployment.call_intent_api(
            self.silom, 'GET', f'/intent/plans/{plan_id}'
        )
        return reply.json()['plan']['state']

    def call(self, router: Router, token: str = TOKEN) -> int:
        return request(router.callers, 'GET', '/grid-app/x', token).status


class TestAcceptance(ConfigurationTestCase):
    def test_accepted_change_is_applied_by_every_router(self) -> None:
        plan_id = self.plan(workspace('daily', [SILOM, BANGNA], priority=2))
        started = time.monotonic()
        self.assertEqual(self.confirm(plan_id).status, 200)
        for router in self.deployment.routers.values():
            wait_until(lambda: router.status()['revision'] == 2)
        print(f'in force {time.monotonic() - started:.2f} s after confirm')

    def test_change_waits_for_a_paused_router_and_names_it(self) -> None:
        # The VM still exists, so the process may resume at any moment and
        # serve by its old view. The change must not be accepted without it.
        plan_id = self.plan(workspace('daily', [SILOM]))
        self.bangna.process.send_signal(signal.SIGSTOP)
        reply = self.confirm(plan_id, 1.0)
        self.assertEqual(reply.status, 202)
        self.assertEqual(
            reply.json()['waiting_for'], {BANGNA: [f'{BANGNA}-1']}
        )
        self.bangna.process.send_signal(signal.SIGCONT)
        wait_until(lambda: self.get_state(plan_id) == 'accepted')
        # The paused router enforced the change before it was accepted.
        self.assertEqual(self.call(self.bangna), 421)

    def test_change_does_not_wait_for_a_router_whose_vm_is_gone(self) -> None:
        # A VM counts as gone only once the VM list, which lags, has shown it.
        vms = {f'vm-{name}': 'live' for name in self.deployment.routers}
        self.deployment.set_vms(**vms)
        wait_until(self.all_listed)
        plan_id = self.plan(workspace('daily', [SILOM]))
        self.bangna.process.kill()
        self.assertEqual(self.confirm(plan_id, 1.0).status, 202)
        del vms[f'vm-{BANGNA}-1']
        self.deployment.set_vms(**vms)
        wait_until(lambda: self.get_state(plan_id) == 'accepted')
        remaining = [f'{SILOM}/{SILOM}-1']
        wait_until(lambda: self.silom.status()['routers'] == remaining)

    def all_listed(self) -> bool:
        reply = request(
            self.deployment.addresses['table'],
            'POST',
            '/v1/read',
            content={'keys': ['membership/members']},
        )
        routers = reply.json()['rows'][0]['value']['routers']
        return all(item['listed'] for item in routers)

    def test_change_waits_for_a_router_whose_vm_was_never_listed(self) -> None:
        self.deployment.set_vms(**{f'vm-{SILOM}-1': 'live'})
        plan_id = self.plan(workspace('daily', [SILOM]))
        self.bangna.process.send_signal(signal.SIGSTOP)
        self.assertEqual(self.confirm(plan_id, 1.5).status, 202)
        self.bangna.process.send_signal(signal.SIGCONT)
        wait_until(lambda: self.get_state(plan_id) == 'accepted')

    def test_change_waits_only_for_the_data_centres_it_concerns(self) -> None:
        self.deployment.configure([workspace('silom-only', [SILOM])])
        plan_id = self.plan(workspace('silom-only', [SILOM], priority=1))
        self.bangna.process.send_signal(signal.SIGSTOP)
        reply = self.confirm(plan_id)
        self.bangna.process.send_signal(signal.SIGCONT)
        self.assertEqual(reply.status, 200)

    def test_confirm_is_idempotent_after_lost_answers(self) -> None:
        plan_id = self.plan(workspace('daily', [SILOM, BANGNA], priority=1))
        self.deployment.set_faults('table', drop_answers=3)
        self.confirm(plan_id)
        self.deployment.set_faults('table')
        for _ in range(2):
            reply = self.confirm(plan_id)
            self.assertEqual(reply.status, 200)
            self.assertEqual(reply.json()['plan']['revision'], 2)

    def test_racing_operators(self) -> None:
        plans = [
            self.plan(workspace('daily', [SILOM, BANGNA], priority=number))
            for number in range(4)
        ]
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            replies = list(
                pool.map(
                    lambda item: self.confirm(item[1], router=item[0]),
                    zip((self.silom, self.bangna) * 2, plans),
                )
            )
        statuses = sorted(reply.status for reply in replies)
        self.assertEqual(statuses[0], 200)
        self.assertEqual(statuses[1:], [409] * 3)
        # The router that confirmed the plan applies it at once, the other one
        # at its next poll. No refused plan may lead to a third revision.
        routers = (self.silom, self.bangna)
        winner = routers[[reply.status for reply in replies].index(200) % 2]
        self.assertEqual(winner.status()['revision'], 2)
        for router in routers:
            wait_until(lambda router=router: router.status()['revision'] >= 2)
            self.assertEqual(router.status()['revision'], 2)
        for plan_id, reply in zip(plans, replies):
            if reply.status == 200:
                continue
            again = self.confirm(plan_id)
            self.assertEqual(again.status, 409)
            fresh = again.error['fresh_plan']
            self.assertEqual(fresh['base'], 2)

    def test_withdrawn_plan_is_no_longer_enforced(self) -> None:
        plan_id = self.plan(workspace('daily', [SILOM]))
        self.bangna.process.send_signal(signal.SIGSTOP)
        self.confirm(plan_id, 0.5)
        reply = self.deployment.call_intent_api(
            self.silom, 'POST', f'/intent/plans/{plan_id}/withdraw'
        )
        self.assertEqual(reply.json()['plan']['state'], 'withdrawn')
        self.bangna.process.send_signal(signal.SIGCONT)
        wait_until(lambda: self.call(self.bangna) == 200)
        self.assertEqual(self.confirm(plan_id).status, 409)

    def test_refusal_of_an_invalid_plan_names_the_field(self) -> None:
        taken = workspace('other', [SILOM])
        taken['body']['token_digests'] = [digest(TOKEN)]
        for change, field in (
            (workspace('daily', []), 'changes[0].body.data_centres'),
            (
                workspace('daily', [SILOM], priority=77),
                'changes[0].body.priority',
            ),
            (
                workspace('daily', [SILOM], models=['none']),
                'workspace daily.models',
            ),
            (
                {'kind': 'workspace', 'name': 'Bad Name', 'body': None},
                'changes[0].name',
            ),
            (taken, 'workspace other.token_digests'),
        ):
            reply = self.deployment.call_intent_api(
                self.silom, 'POST', '/intent/plans', changes=[change]
            )
            self.assertEqual(reply.status, 400)
            self.assertEqual(reply.error['param'], field)


class TestCutOff(ConfigurationTestCase):
    """A data centre that has lost its connection to the table service.

    The second data centre reaches the table through a relay.
    """

    def setUp(self) -> None:
        self.deployment = Deployment((SILOM, BANGNA), engines=1)
        self.enterContext(self.deployment)
        self.relay = Relay(self.deployment.addresses['table'])
        self.addCleanup(self.relay.close)
        self.silom = self.deployment.routers[f'{SILOM}-1']
        self.bangna = self.deployment.routers[f'{BANGNA}-1']
        self.bangna.process.stop()
        path = self.bangna.settings
        table = self.deployment.addresses['table']
        path.write_text(path.read_text().replace(table, self.relay.address))
        self.bangna.start()
        self.bangna.wait_ready()
        self.deployment.configure_usual()

    def test_cut_off_router_serves_and_blocks_acceptance(self) -> None:
        self.relay.cut()
        plan_id = self.plan(workspace('daily', [SILOM]))
        reply = self.confirm(plan_id, 1.0)
        self.assertEqual(reply.status, 202)
        self.assertEqual(list(reply.json()['waiting_for']), [BANGNA])
        self.assertEqual(self.call(self.bangna), 200)
        self.relay.heal()
        wait_until(lambda: self.get_state(plan_id) == 'accepted')
        self.assertEqual(self.call(self.bangna), 421)

    def test_both_documents_are_enforced_until_the_decision_is_known(
        self,
    ) -> None:
        # The router acknowledges the plan and loses the table before it learns
        # the decision.
        plan_id = self.plan(workspace('daily', [SILOM]))
        self.silom.process.send_signal(signal.SIGSTOP)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            confirmed = pool.submit(self.confirm, plan_id, 0.5, self.bangna)
            wait_until(lambda: self.bangna.status()['proposal'] == plan_id)
            confirmed.result()
        self.assertEqual(self.call(self.bangna), 421)
        self.relay.cut()
        self.silom.process.send_signal(signal.SIGCONT)
        self.assertEqual(self.call(self.bangna), 421)
        wait_until(lambda: self.get_state(plan_id) == 'accepted')
        # Without the table it must not revert after the acceptance either.
        time.sleep(1.0)
        self.assertEqual(self.call(self.bangna), 421)

    def test_later_embargo_is_enforced_until_the_decision_is_known(
        self,
    ) -> None:
        # One embargo is moved earlier and one later, and the router loses the
        # table between its acknowledgement and the decision. The path must
        # stay closed to both workspaces.
        past, future = '2020-01-01T00:00:00Z', '2999-01-01T00:00:00Z'
        self.deployment.configure([self.make_embargoed('sooner', future)])
        self.deployment.configure([self.make_embargoed('later', past)])
        self.assertEqual(self.call(self.bangna, 'sooner-token'), 403)
        self.assertEqual(self.call(self.bangna, 'later-token'), 200)
        plan_id = self.plan(
            self.make_embargoed('sooner', past),
            self.make_embargoed('later', future),
        )
        self.silom.process.send_signal(signal.SIGSTOP)
        self.confirm(plan_id, 0.5, self.bangna)
        wait_until(lambda: self.bangna.status()['proposal'] == plan_id)
        self.relay.cut()
        for token in ('sooner-token', 'later-token'):
            self.assertEqual(self.call(self.bangna, token), 403)
        self.silom.process.send_signal(signal.SIGCONT)
        wait_until(lambda: self.get_state(plan_id) == 'accepted')
        self.assertEqual(self.call(self.silom, 'sooner-token'), 200)
        for token in ('sooner-token', 'later-token'):
            self.assertEqual(self.call(self.bangna, token), 403)
        self.relay.heal()
        wait_until(lambda: self.call(self.bangna, 'sooner-token') == 200)
        self.assertEqual(self.call(self.bangna, 'later-token'), 403)

    def make_embargoed(self, name: str, release: str) -> dict:
        embargo = {
            'service': 'grid-app',
            'path_prefix': '/x',
            'release': release,
        }
        return workspace(name, [SILOM, BANGNA], embargoes=[embargo])

    def test_request_during_a_switch_of_weights_waits_and_is_refused(
        self,
    ) -> None:
        plan_id = self.plan(model('v2'))
        self.silom.process.send_signal(signal.SIGSTOP)
        self.confirm(plan_id, 0.5, self.bangna)
        wait_until(lambda: self.bangna.status()['proposal'] == plan_id)
        self.relay.cut()
        reply = request(
            self.bangna.callers,
            'POST',
            '/v1/completions',
            TOKEN,
            {'model': 'clue-writer', 'prompt': 'x', 'max_tokens': 1},
        )
        self.silom.process.send_signal(signal.SIGCONT)
        self.assertEqual(reply.status, 503)
        self.assertEqual(reply.error['code'], 'not_configured')
        self.assertEqual(reply.error['ran'], 'not run')
        self.assertIn('retry-after', reply.headers)


class TestRestart(ConfigurationTestCase):
    """Restarts of routers, with and without the table service."""

    ROUTERS = 3

    def restart(self, router: Router, seeds: list[str]) -> float:
        """Restart a router; return the seconds to its first answer."""
        text = router.settings.read_text()
        if 'seeds' not in text:
            listed = ', '.join(f'"{seed}"' for seed in seeds)
            seed_line = f'peers = {{ seeds = [{listed}] }}\n'
            router.settings.write_text(seed_line + text)
        started = time.monotonic()
        router.start()
        router.wait_ready()
        self.assertEqual(self.call(router), 200)
        return time.monotonic() - started

    def test_routers_that_restart_in_an_outage_get_the_configuration(
        self,
    ) -> None:
        routers = list(self.deployment.routers.values())
        running, *restarted = routers[:3]
        for router in restarted:
            router.process.kill()
        self.deployment.set_faults('table', refuse=1_000_000)
        for router in restarted:
            seconds = self.restart(router, [running.peers])
            print(f'served {seconds:.2f} s after its start, table unavailable')
            self.assertEqual(router.status()['revision'], 1)
        self.deployment.set_faults('table')

        def all_registered() -> bool:
            return len(self.silom.status()['routers']) == len(routers)

        wait_until(all_registered)

    def test_router_removed_from_the_list_registers_again(self) -> None:
        router = f'{SILOM}/{SILOM}-1'
        table = self.deployment.addresses['table']
        write = {'key': 'membership/members', 'value': {'routers': []}}
        cleared = request(
            table,
            'POST',
            '/v1/transact',
            content={'checks': [], 'writes': [write]},
        )
        self.assertEqual(cleared.status, 200)

        def is_listed() -> bool:
            reply = request(
                table,
                'POST',
                '/v1/read',
                content={'keys': ['membership/members']},
            )
            routers = reply.json()['rows'][0]['value']['routers']
            names = [f'{i["data_centre"]}/{i["name"]}' for i in routers]
            return router in names

        wait_until(is_listed)

    def test_stale_peer_does_not_replace_a_newer_revision(self) -> None:
        one, stale, new = list(self.deployment.routers.values())[:3]
        stale.process.send_signal(signal.SIGSTOP)
        new.process.kill()
        self.deployment.set_vms(
            **{f'vm-{name}': 'live' for name in self.deployment.routers}
        )
        plan_id = self.plan(workspace('daily', [SILOM, BANGNA], priority=1))
        # The change concerns the stale router and so stays pending. It is
        # withdrawn, which leaves both at revision 1. The second change
        # concerns another data centre and is applied by only one of the two.
        self.confirm(plan_id, 0.2)
        self.deployment.call_intent_api(
            one, 'POST', f'/intent/plans/{plan_id}/withdraw'
        )
        other = self.plan(workspace('bangna-only', [BANGNA]))
        self.confirm(other, 5.0)
        wait_until(lambda: one.status()['revision'] == 2)
        self.deployment.set_faults('table', refuse=1_000_000)
        stale.process.send_signal(signal.SIGCONT)
        self.restart(new, [stale.peers, one.peers])
        wait_until(lambda: new.status()['revision'] == 2)
        self.deployment.set_faults('table')

    def test_change_waits_for_a_sponsored_router(self) -> None:
        # Only the new router has lost the table. A change must wait for it,
        # although it could not register.
        relay = Relay(self.deployment.addresses['table'])
        self.addCleanup(relay.close)
        relay.cut()
        running, new = list(self.deployment.routers.values())[:2]
        new.process.stop()
        text = new.settings.read_text()
        table = self.deployment.addresses['table']
        new.settings.write_text(text.replace(table, relay.address))
        self.restart(new, [running.peers])
        plan_id = self.plan(workspace('daily', [BANGNA]))
        new.process.send_signal(signal.SIGSTOP)
        self.assertEqual(self.confirm(plan_id, 2.0).status, 202)
        new.process.send_signal(signal.SIGCONT)
        wait_until(lambda: self.get_state(plan_id) == 'accepted')
        self.assertEqual(self.call(new), 421)


class TestCommands(ConfigurationTestCase):
    """The commands for operators, run against a router process."""

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess:
        token = self.deployment.folder / 'token'
        token.write_text(OPERATOR_TOKEN)
        return subprocess.run(
            [
                sys.executable,
                '-m',
                'lifttrestle',
                *arguments,
                '--router',
                self.silom.operators,
                '--token-file',
                str(token),
            ],
            capture_output=True,
            text=True,
            timeout=30,
            env=os.environ,
        )

    def write_changes(self, priority: int) -> str:
        path = pathlib.Path(self.deployment.folder / 'changes.toml')
        path.write_text(
            '[[workspace]]\nname = "weekly"\n'
            f'data_centres = ["{SILOM}"]\ntoken_digests = []\n'
            f'priority = {priority}\n'
        )
        return str(path)

    def test_plan_confirm_status(self) -> None:
        made = self.run_command('plan', self.write_changes(3))
        self.assertEqual(made.returncode, 0, made.stderr)
        self.assertIn('workspace weekly: priority: absent -> 3', made.stdout)
        plan_id = made.stdout.split()[1]
        self.assertIn('accepted', self.run_command('confirm', plan_id).stdout)
        self.assertIn('weekly', self.run_command('workspace').stdout)
        self.assertIn('revision  2', self.run_command('status').stdout)
        shown = self.run_command('show', plan_id, '--json')
        self.assertIn('"state":"accepted"', shown.stdout)

    def test_refusals_say_what_to_do(self) -> None:
        refused = self.run_command('plan', self.write_changes(99))
        self.assertEqual(refused.returncode, 1)
        self.assertIn('priority', refused.stderr)
        self.assertIn('what to do', refused.stderr)
        stale = self.run_command('plan', self.write_changes(1))
        fresh = self.run_command('plan', self.write_changes(2))
        self.run_command('confirm', fresh.stdout.split()[1])
        lost = self.run_command('confirm', stale.stdout.split()[1])
        self.assertEqual(lost.returncode, 1)
        self.assertIn('fresh plan', lost.stderr)


if __name__ == '__main__':
    unittest.main()
