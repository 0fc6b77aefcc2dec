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

"""Model-based tests of the replication of a shared table.

Three routers read one table, from the store or from each other, and each
request and response may be delayed. At all times the copy of a router must
equal the table as of some commit, and must include every commit before the
time as of which the copy counts as current.
"""

import asyncio
import collections
import dataclasses
import datetime
import random
import unittest

from hypothesis import stateful
from hypothesis import strategies as st
import msgspec

from lifttrestle.errors import HistoryGone
from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.state.relay_follower import RelayFollower
from lifttrestle.internal.fleet.state.relay_messages import LENGTH_BYTES
from lifttrestle.internal.fleet.state.relay_messages import TableUpdate
from lifttrestle.internal.fleet.state.relay_server import Follower
from lifttrestle.internal.fleet.state.relay_server import RelayServer
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.row_version import build_version
from lifttrestle.internal.fleet.state.row_version import get_commit_number
from lifttrestle.internal.fleet.state.row_version import get_epoch
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.table_copy import CopyUpdate
from lifttrestle.internal.fleet.state.table_watch import TableWatch
from tests.support.memory_rows import MemoryRows
from tests.support.memory_rows import RowsSnapshot
from tests.support.models import run_model

START = datetime.datetime(2026, 12, 2, tzinfo=datetime.timezone.utc)
TABLE = 't'
KEYS = ('a', 'b')
NAMES = ('r', 's', 'u')
# Mostly the router that the others follow.
READERS = st.sampled_from((0, 0, 0, 1, 2))


class HeldRead:
    """A pending read, whose steps are: sent, answered, received."""

    def __init__(self, read):
        self.read = read
        self.answer = None
        self.received = asyncio.get_running_loop().create_future()


class HeldRows(RowStore):
    """A store that computes and delivers responses in separate steps."""

    def __init__(self, rows):
        self._rows = rows
        self.held = []

    async def read_table(self, table):
        return await self._hold(lambda: self._rows.read_table(table))

    async def watch_table(self, table, after, wait_seconds):
        return await self._hold(
            lambda: self._rows.watch_table(table, after, 0)
        )

    async def write_rows(self, writes):
        raise NotImplementedError

    def close(self):
        """Do nothing."""

    async def _hold(self, read):
        held = HeldRead(read)
        self.held.append(held)
        answer = await held.received
        if isinstance(answer, Exception):
            raise answer
        return answer


class Pipe:
    """Replaces the writer of a connection and queues the written frames."""

    def __init__(self):
        self.frames = collections.deque()
        self.transport = self

    def write(self, data):
        self.frames.append(data[LENGTH_BYTES:])

    def get_write_buffer_size(self):
        return 0

    def abort(self):
        """Do nothing."""


class Connection:
    """A follower's connection to a relay, with both directions queued."""

    def __init__(self, follower, relay):
        self.questions = Pipe()
        self.news = Pipe()
        self.follower = follower
        self.relay = relay
        self.record = Follower(self.news)
        relay.server._followers.add(self.record)
        self.asked_at = []

    def ask(self):
        number = len(self.asked_at)
        asked_at = self.follower.follower._send_request(self.questions, number)
        self.asked_at.append(asked_at)


class Router:
    def __init__(self, name, rows, clock, faults):
        self.rows = HeldRows(rows)
        self.watch = faults.get('watch', TableWatch)(
            self.rows,
            TABLE,
            clock,
            random.Random(1),
            1.5,
            lambda row: None,
        )
        roster = Roster(rows, clock, name, 'a')
        self.server = faults.get('server', RelayServer)([self.watch], clock)
        self.follower = faults.get('follower', RelayFollower)(
            [self.watch], roster, clock
        )
        self.reading = None


@dataclasses.dataclass
class Commit:
    """A commit and its version in each epoch that includes it."""

    committed_at: float
    versions_by_epoch: dict


@dataclasses.dataclass
class StoreSnapshot:
    """The store's rows with the state and commits that the model expects."""

    rows: RowsSnapshot
    state: dict
    commits: list


class ViewMachine(stateful.RuleBasedStateMachine):
    faults: dict = {}

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock(START)
        self.clock.advance(100.0)
        self.rows = self.faults.get('rows', MemoryRows)()
        self.states = {0: {}}
        self.commits = []
        self.routers = [
            Router(name, self.rows, self.clock, self.faults) for name in NAMES
        ]
        # One router reads the store; the others hear of it, one of them at
        # second hand as well.
        reader, first, second = self.routers
        self.connections = [
            Connection(first, reader),
            Connection(second, reader),
            Connection(second, first),
        ]

    def teardown(self):
        for router in self.routers:
            if router.reading is not None:
                router.reading.cancel()
        self.settle()
        self.loop.close()

    def settle(self):
        async def pass_turns():
            for _ in range(6):
                await asyncio.sleep(0)

        self.loop.run_until_complete(pass_turns())

    @stateful.rule(key=st.sampled_from(KEYS), removed=st.booleans())
    def commit(self, key, removed):
        value = None if removed else b'%d' % self.rows.version
        state = dict(self.states[self.rows.version])
        version = self.rows.put(TABLE, key, value)
        state.pop(key, None)
        if value is not None:
            state[key] = value
        self.states[version] = state
        self.commits.append(
            Commit(self.clock.monotonic(), {self.rows.epoch: version})
        )
        self.clock.advance(0.1)

    @stateful.rule(seconds=st.sampled_from((0.1, 0.7, 3.0)))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @stateful.rule()
    def drop_history(self):
        self.rows.oldest = self.rows.version

    @stateful.rule(index=READERS)
    def begin_read(self, index):
        router = self.routers[index]
        if router.reading is None or router.reading.done():
            router.reading = self.loop.create_task(router.watch.read_once())
            self.settle()

    @stateful.rule(index=READERS)
    def answer_read(self, index):
        for held in self.routers[index].rows.held:
            if held.answer is None:
                try:
                    held.answer = self.loop.run_until_complete(held.read())
                except HistoryGone as error:
                    held.answer = error

    @stateful.rule(index=READERS)
    def receive_answer(self, index):
        self.answer_read(index)
        held = self.routers[index].rows.held
        while held:
            read = held.pop()
            read.received.set_result(read.answer)
        self.settle()

    @stateful.rule(index=READERS)
    def read_at_once(self, index):
        self.begin_read(index)
        self.receive_answer(index)

    @stateful.rule(number=st.integers(0, 2))
    def exchange_at_once(self, number):
        self.connections[number].ask()
        while self.connections[number].questions.frames:
            self.question_arrives(number)
        self.news_arrive(number, 100)

    @stateful.rule(number=st.integers(0, 2))
    def ask(self, number):
        self.connections[number].ask()

    @stateful.rule(number=st.integers(0, 2))
    def question_arrives(self, number):
        connection = self.connections[number]
        if connection.questions.frames:
            frame = connection.questions.frames.popleft()
            connection.relay.server._handle_request(connection.record, frame)

    @stateful.rule(number=st.integers(0, 2), count=st.integers(1, 5))
    def news_arrive(self, number, count):
        connection = self.connections[number]
        for _ in range(min(count, len(connection.news.frames))):
            frame = connection.news.frames.popleft()
            message = msgspec.msgpack.decode(frame, type=TableUpdate)
            connection.follower.follower._apply_update(
                message, connection.asked_at
            )

    @stateful.invariant()
    def copies_are_the_table_at_their_version(self):
        for router in self.routers:
            copy = router.watch.copy
            held = {key: row.value for key, row in copy._rows.items()}
            assert held == self.states[copy.version], copy.version

    @stateful.invariant()
    def nothing_is_missing_that_is_said_to_be_proved(self):
        for router in self.routers:
            copy = router.watch.copy
            epoch = get_epoch(copy.version)
            for commit in self.commits:
                # At the very moment of the read, either is right.
                if commit.committed_at >= copy.current_as_of:
                    continue
                if epoch > max(commit.versions_by_epoch):
                    # The restore discarded this commit.
                    continue
                version = commit.versions_by_epoch.get(epoch)
                assert version is not None, (commit, copy.version)
                assert copy.version >= version, (commit, copy.version)


class RestoredStoreMachine(ViewMachine):
    """Also restores the store from an older copy."""

    def __init__(self):
        super().__init__()
        self.snapshots = []

    @stateful.rule(key=st.sampled_from(KEYS), removed=st.booleans())
    def commit(self, key, removed):
        state = self.states[self.rows.version]
        epoch = self.rows.epoch
        included = [
            item for item in self.commits if epoch in item.versions_by_epoch
        ]
        snapshot = StoreSnapshot(self.rows.take_snapshot(), state, included)
        self.snapshots.append(snapshot)
        super().commit(key, removed)

    @stateful.rule(lost_commits=st.integers(1, 3))
    def restore_store(self, lost_commits):
        if not self.snapshots:
            return
        snapshot = self.snapshots[-min(lost_commits, len(self.snapshots))]
        del self.snapshots[-lost_commits:]
        self.rows.restore(snapshot.rows)
        self.states[self.rows.version] = snapshot.state
        epoch = self.rows.epoch
        for commit in snapshot.commits:
            version = next(iter(commit.versions_by_epoch.values()))
            commit.versions_by_epoch[epoch] = build_version(
                epoch, get_commit_number(version)
            )
        self.clock.advance(0.1)


class ResponseTimeWatch(TableWatch):
    """Injected fault: a copy counts as current as of the response."""

    def _apply(self, update, current_as_of):
        super()._apply(update, self._clock.monotonic())


class ArrivalTimeFollower(RelayFollower):
    """Injected fault: a copy counts as current as of an update's arrival."""

    def _apply_update(self, message, sent_at):
        now = [self._clock.monotonic()] * len(sent_at)
        # A time in the future is refused, so the offset is at most zero.
        as_of_offset = min(message.as_of_offset, 0.0)
        message = msgspec.structs.replace(message, as_of_offset=as_of_offset)
        super()._apply_update(message, now)


class EpochIgnoringRows(MemoryRows):
    """Injected fault: a watch ignores the epoch of its version."""

    async def watch_table(self, table, after, wait_seconds):
        commit_number = min(
            get_commit_number(after), get_commit_number(self.version)
        )
        after = build_version(self.epoch, commit_number)
        return await super().watch_table(table, after, wait_seconds)


class RemovalOmittingServer(RelayServer):
    """Injected fault: updates omit removed rows."""

    def _send_update(self, follower, watch):
        copy = watch.copy
        list_changes = copy.list_since

        def list_kept(version):
            update = list_changes(version)
            kept = tuple(row for row in update.changes.rows if row.value)
            return CopyUpdate(
                type(update.changes)(kept, copy.version), update.is_snapshot
            )

        copy.list_since = list_kept
        try:
            super()._send_update(follower, watch)
        finally:
            copy.list_since = list_changes


def run_machine(machine=ViewMachine, **faults):
    run_model(type('Machine', (machine,), {'faults': faults}), 300)


class TestReplication(unittest.TestCase):
    def test_copies_are_as_current_as_they_report(self):
        run_machine()

    def test_planted_response_time_is_found(self):
        with self.assertRaises(AssertionError):
            run_machine(watch=ResponseTimeWatch)

    def test_planted_arrival_time_is_found(self):
        with self.assertRaises(AssertionError):
            run_machine(follower=ArrivalTimeFollower)

    def test_planted_omission_of_removals_is_found(self):
        with self.assertRaises(AssertionError):
            run_machine(server=RemovalOmittingServer)

    def test_copies_match_a_restored_store(self):
        run_machine(RestoredStoreMachine)

    def test_planted_watch_across_epochs_is_found(self):
        with self.assertRaises(AssertionError):
            run_machine(RestoredStoreMachine, rows=EpochIgnoringRows)
