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

"""Streams keep to the software version that began them."""

import asyncio
import time
import unittest

from tests.support.fleet import CONFIGURATION
from tests.support.fleet import PROMISES
from tests.support.fleet import wait_until
from tests.support.version_fleet import CallerStream
from tests.support.version_fleet import count_mixed
from tests.support.version_fleet import LEAST_RATIO
from tests.support.version_fleet import LEAST_RESUMED
from tests.support.version_fleet import MAX_MIXED
from tests.support.version_fleet import run_version_fleet

OLD = 'v1'
NEW = 'v1.1'
ONE_TO_ONE = {'e1': OLD, 'e2': OLD, 'e3': NEW, 'e4': NEW}
ONE_TO_FOUR = {
    'e1': OLD,
    'e2': OLD,
    **{f'e{number}': NEW for number in range(3, 11)},
}
STREAMS = 24
# Requests that an engine runs or queues; it rejects the others.
ROOM = 8


class TestLog(unittest.IsolatedAsyncioTestCase):
    async def test_log_tells_versions_and_what_a_caller_resumes(self):
        with self.assertLogs('lifttrestle', 'INFO') as logs:
            async with run_version_fleet(ONE_TO_ONE, ('r1',)) as fleet:
                stream = CallerStream('s')
                address = fleet.get_address('r1')
                await stream.call(address)
                await stream.call(
                    address,
                    headers=(('last-event-id', '3'), ('resumes', 's.0')),
                )
        fields = [
            (record.getMessage(), record.fields)
            for record in logs.records
            if hasattr(record, 'fields')
        ]
        listed = {
            item['instance']: item['software_version']
            for name, item in fields
            if name == 'upstream.new'
        }
        self.assertEqual(listed, ONE_TO_ONE)
        first, second = [
            item for name, item in fields if name == 'request.sent'
        ]
        self.assertEqual(stream.versions, {first['software_version']})
        self.assertIsNone(first['resumes'])
        self.assertEqual(second['resumes'], 's.0')

    async def test_resumed_streams_are_counted_by_software(self):
        async with run_version_fleet({'e1': OLD}, ('r1',)) as fleet:
            await fleet.add_engine('e2', OLD)
            await fleet.wait_settled()
            _, tasks = await fleet.begin_streams('r1', 2)
            await fleet.engines['e1'].stop()
            fleet.release()
            await asyncio.gather(*tasks)
            same = fleet.routers['r1'].registry.get_sample_value(
                'lifttrestle_resumed_total',
                {'service': 'engines', 'software': 'same'},
            )
        self.assertEqual(same, 1.0)


class TestOneAnswer(unittest.IsolatedAsyncioTestCase):
    async def _crash_one(self, versions, crashed):
        async with run_version_fleet(versions) as fleet:
            streams, tasks = await fleet.begin_streams('r1', STREAMS)
            await fleet.engines[crashed].stop()
            fleet.release()
            await asyncio.gather(*tasks)
            return streams

    async def test_regression_stream_continued_at_another_version(self):
        cases = ((ONE_TO_ONE, 'e1'), (ONE_TO_FOUR, 'e1'), (ONE_TO_FOUR, 'e3'))
        for versions, crashed in cases:
            with self.subTest(versions=versions, crashed=crashed):
                streams = await self._crash_one(versions, crashed)
                self.assertLessEqual(count_mixed(streams), MAX_MIXED)
                # One engine of each version is left to continue them.
                complete = sum(stream.is_complete for stream in streams)
                self.assertEqual(complete, STREAMS)


class TestOverTries(unittest.IsolatedAsyncioTestCase):
    async def _resume_elsewhere(self, versions):
        async with run_version_fleet(versions) as fleet:
            streams, tasks = await fleet.begin_streams('r1', STREAMS)
            await fleet.kill('r1')
            fleet.release()
            await asyncio.gather(*tasks)
            resumed = [item for item in streams if not item.is_complete]
            address = fleet.get_address('r2')
            await asyncio.gather(*(item.call(address) for item in resumed))
            return resumed

    async def test_regression_caller_resumed_at_another_version(self):
        for versions in (ONE_TO_ONE, ONE_TO_FOUR):
            with self.subTest(versions=versions):
                resumed = await self._resume_elsewhere(versions)
                self.assertGreaterEqual(len(resumed), STREAMS // 2)
                self.assertLessEqual(count_mixed(resumed), MAX_MIXED)
                complete = sum(item.is_complete for item in resumed)
                self.assertGreaterEqual(complete, LEAST_RATIO * len(resumed))

    async def test_stream_keeps_its_version_over_several_tries(self):
        async with run_version_fleet(ONE_TO_ONE) as fleet:
            (stream,), tasks = await fleet.begin_streams('r1', 1)
            await fleet.kill('r1')
            await asyncio.gather(*tasks)
            # Each resumption gets one event, as a caller that is cut off.
            for router in ('r2', 'r3', 'r2'):
                before = len(stream.events)
                task = asyncio.create_task(
                    stream.call(fleet.get_address(router))
                )
                if not stream.is_complete:
                    await wait_until(
                        lambda count=before: len(stream.events) > count
                    )
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(len(stream.versions), 1)
        self.assertEqual(len(stream.events), 5)

    async def test_restarted_router_asks_the_others(self):
        async with run_version_fleet(ONE_TO_ONE) as fleet:
            streams, tasks = await fleet.begin_streams('r1', 4)
            await fleet.kill('r1')
            fleet.release()
            await asyncio.gather(*tasks)
            await fleet.kill('r2')
            await fleet.add_router('r2')
            await wait_until(fleet.routers['r2'].is_ready)
            address = fleet.get_address('r2')
            await asyncio.gather(*(item.call(address) for item in streams))
        self.assertTrue(all(item.is_complete for item in streams))
        self.assertEqual(count_mixed(streams), 0)


class TestUnknownOrigin(unittest.IsolatedAsyncioTestCase):
    def _count_arrivals(self, fleet):
        return sum(len(item.arrivals) for item in fleet.engines.values())

    async def test_stream_of_an_unknown_origin_is_refused_as_not_run(self):
        last = ('last-event-id', '2')
        cases = {
            'absent': (last,),
            'never sent': (last, ('resumes', 'x.0')),
            'twice': (last, ('resumes', 's.0'), ('resumes', 'x.0')),
            'too long': (last, ('resumes', 's' * 200)),
        }
        async with run_version_fleet(ONE_TO_ONE, ('r1',)) as fleet:
            stream = CallerStream('s')
            address = fleet.get_address('r1')
            await stream.call(address)
            arrivals = self._count_arrivals(fleet)
            count = fleet.routers['r1'].registry.get_sample_value
            for name, headers in cases.items():
                with self.subTest(name):
                    await stream.call(address, headers=headers)
                    self.assertEqual(stream.statuses[-1], 503)
            with self.subTest('of another workspace'):
                stream.key = 'k3'
                await stream.call(address, headers=(last, ('resumes', 's.0')))
                self.assertEqual(stream.statuses[-1], 503)
            self.assertEqual(self._count_arrivals(fleet), arrivals)
            unknown = count(
                'lifttrestle_origins_total', {'known_by': 'unknown'}
            )
            self.assertEqual(unknown, len(cases) + 1)

    async def test_regression_deadline_passed_while_the_store_was_read(self):
        async with run_version_fleet(ONE_TO_ONE, ('r1',)) as fleet:
            fleet.routers['r1'].store.read_table = self._hang
            stream = CallerStream('s')
            began = time.monotonic()
            await stream.call(
                fleet.get_address('r1'),
                headers=(
                    ('last-event-id', '2'),
                    ('resumes', 'x.0'),
                    ('deadline-ms', '400'),
                ),
            )
        self.assertLess(time.monotonic() - began, 1.5)
        self.assertEqual(stream.statuses, [504])

    async def _hang(self, table):
        await asyncio.Event().wait()

    async def test_stream_begins_anew_without_the_last_event(self):
        async with run_version_fleet(ONE_TO_ONE, ('r1',)) as fleet:
            stream = CallerStream('s')
            await stream.call(
                fleet.get_address('r1'), headers=(('resumes', 'x.0'),)
            )
        self.assertEqual(stream.statuses, [200])
        self.assertTrue(stream.is_complete)

    async def test_stream_goes_on_while_there_is_one_version(self):
        async with run_version_fleet({'e1': OLD, 'e2': OLD}) as fleet:
            stream = CallerStream('s')
            await stream.call(
                fleet.get_address('r1'), headers=(('last-event-id', '2'),)
            )
        self.assertEqual([number for number, _ in stream.events], [3, 4, 5])

    async def test_what_a_caller_names_is_forwarded(self):
        async with run_version_fleet({'e1': OLD}, ('r1',)) as fleet:
            await CallerStream('s').call(
                fleet.get_address('r1'),
                headers=(('last-event-id', '2'), ('resumes', 'x.0')),
            )
            (head,) = fleet.engines['e1'].arrivals
        self.assertEqual(head.get_header('resumes'), 'x.0')


class TestNoUpstreamLeft(unittest.IsolatedAsyncioTestCase):
    VERSIONS = {'e1': OLD, 'e2': NEW, 'e3': NEW}

    async def _begin_at_old(self, fleet):
        """Begin streams until one is served by the old version."""
        streams, tasks = await fleet.begin_streams('r1', 12)
        found = [item for item in streams if item.versions == {OLD}]
        self.assertTrue(found)
        return found, tasks

    async def _crash_old(self, fleet):
        """Return streams that broke off with the only engine of a version."""
        streams, tasks = await self._begin_at_old(fleet)
        await fleet.engines['e1'].stop()
        fleet.release()
        await asyncio.gather(*tasks)
        return streams

    async def test_open_stream_ends_and_does_not_look_complete(self):
        async with run_version_fleet(self.VERSIONS) as fleet:
            streams = await self._crash_old(fleet)
            self.assertFalse(any(item.is_complete for item in streams))
            self.assertEqual(count_mixed(streams), 0)

    async def test_resumed_stream_is_refused_at_once_as_not_run(self):
        async with run_version_fleet(self.VERSIONS) as fleet:
            streams = await self._crash_old(fleet)
            fleet.store.remove('servers', 'e1')
            del fleet.engines['e1']
            await fleet.wait_settled()
            began = time.monotonic()
            await streams[0].call(fleet.get_address('r2'))
            self.assertLess(time.monotonic() - began, 2.0)
        self.assertEqual(streams[0].statuses[-1], 503)
        self.assertEqual(len(streams[0].events), 2)

    async def test_stream_goes_on_when_its_version_is_back(self):
        async with run_version_fleet(self.VERSIONS) as fleet:
            streams = await self._crash_old(fleet)
            await fleet.add_engine('e4', OLD)
            await fleet.wait_settled()
            await streams[0].call(fleet.get_address('r2'))
        self.assertTrue(streams[0].is_complete)
        self.assertEqual(streams[0].versions, {OLD})

    async def test_stream_goes_on_at_an_upstream_that_begins_to_drain(self):
        async with run_version_fleet(self.VERSIONS) as fleet:
            streams, tasks = await self._begin_at_old(fleet)
            await fleet.kill('r1')
            fleet.release()
            await asyncio.gather(*tasks)
            router = fleet.routers['r2']
            clock = fleet.clocks['r2']
            while router._watches.upstreams.get_age() > 0.5:
                fleet.put_engine('e2')
                await asyncio.sleep(0.05)
            clock.freeze()
            fleet.put_engine('e1', state='draining')
            known = router.directory.get('e1')
            await wait_until(lambda: known.entry.draining)
            first, second, *_ = streams
            await first.call(fleet.get_address('r2'))
            clock.resume()
            clock.skip(PROMISES.drain_seconds)
            arrivals = len(fleet.engines['e1'].arrivals)
            await second.call(fleet.get_address('r2'))
            self.assertEqual(len(fleet.engines['e1'].arrivals), arrivals)
        self.assertTrue(first.is_complete)
        self.assertEqual(second.statuses[-1], 503)

    async def test_stream_ends_when_its_route_leads_to_another_service(self):
        async with run_version_fleet(ONE_TO_ONE) as fleet:
            stream = CallerStream('s')
            await stream.call(fleet.get_address('r1'))
            routes = [
                {**route, 'service': 'plain'}
                if route['name'] == 'text'
                else route
                for route in CONFIGURATION['routes']
            ]
            changed = {**CONFIGURATION, 'version': 4, 'routes': routes}
            fleet.store.put('op', 'config', changed)
            await wait_until(
                lambda: fleet.routers['r1'].catalogue.version == 4
            )
            await stream.call(fleet.get_address('r1'))
        self.assertEqual(stream.statuses, [200, 503])


class TestRoom(unittest.IsolatedAsyncioTestCase):
    async def test_new_stream_is_less_urgent_than_one_that_continues(self):
        async with run_version_fleet(ONE_TO_ONE, ('r1',)) as fleet:
            stream = CallerStream('s')
            address = fleet.get_address('r1')
            await stream.call(address)
            await stream.call(
                address, headers=(('last-event-id', '5'), ('resumes', 's.0'))
            )
            urgencies = [
                head.get_header('request-urgency')
                for engine in fleet.engines.values()
                for head in engine.arrivals
            ]
        self.assertEqual(sorted(urgencies), ['2', '3'])

    async def test_urgency_is_unchanged_while_there_is_one_version(self):
        async with run_version_fleet({'e1': OLD}, ('r1',)) as fleet:
            await CallerStream('s').call(fleet.get_address('r1'))
            (head,) = fleet.engines['e1'].arrivals
        self.assertEqual(head.get_header('request-urgency'), '2')

    async def test_streams_of_few_upstreams_continue_beside_new_ones(self):
        async with run_version_fleet(ONE_TO_FOUR) as fleet:
            resumed, tasks = [], []
            while len(resumed) < LEAST_RESUMED:
                streams, reading = await fleet.begin_streams(
                    'r1', STREAMS, f'{len(tasks)}-'
                )
                tasks += reading
                resumed += [s for s in streams if s.versions == {OLD}]
            await fleet.kill('r1')
            fleet.release()
            await asyncio.gather(*tasks)
            del resumed[LEAST_RESUMED:]
            for name, engine in fleet.engines.items():
                engine.event_seconds = 0.02
                engine.room = ROOM
                fleet.put_engine(name, slots=ROOM // 2)
            await wait_until(
                lambda: all(
                    item.entry.slots == ROOM // 2
                    for item in fleet.routers['r2'].directory
                )
            )
            new = [CallerStream(f'n{index}') for index in range(4 * STREAMS)]
            address = fleet.get_address('r2')
            await asyncio.gather(
                *(item.call(address) for item in new + resumed)
            )
        begun = sum(item.is_complete for item in new) / len(new)
        complete = sum(item.is_complete for item in resumed)
        self.assertGreaterEqual(complete, LEAST_RATIO * begun * len(resumed))
        self.assertEqual(count_mixed(resumed), 0)
