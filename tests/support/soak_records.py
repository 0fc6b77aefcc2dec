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

"""Observations of a soak of planned stops, for ``soak_rules`` to check."""

import asyncio
import collections
import contextlib
import dataclasses
import enum
import time

# An answer with one of these states that the request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


async def sleep(done: asyncio.Event, seconds: float) -> None:
    """Sleep for some seconds, but at most until ``done`` is set."""
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(done.wait(), seconds)


class AttemptResult(enum.Enum):
    """How an attempt ended for its caller."""

    UNREACHED = 'no connection'
    CLOSED = 'closed without an answer'
    CUT = 'answer cut short'
    HUNG = 'not ended in time'
    COMPLETE = 'complete answer'


@dataclasses.dataclass
class RouterStart:
    """One run of a router process; times are monotonic seconds.

    :ivar ready: when its readiness endpoint first answered 200.
    :ivar signalled: when the soak sent SIGTERM.
    :ivar announced: when its readiness endpoint first answered 503 after that.
    :ivar paused: whether the soak paused it after that. Most rules do not
        apply then, since a paused router can't meet its time limits.
    :ivar killed: whether the soak killed it, as it did not exit in time.
    """

    name: str
    ready: float | None = None
    signalled: float | None = None
    announced: float | None = None
    exited: float | None = None
    exit_code: int | None = None
    paused: bool = False
    killed: bool = False


@dataclasses.dataclass
class Attempt:
    """One attempt to send a request; times are monotonic seconds.

    :ivar timeout: seconds after which a router may give it up in any case.
    :ivar event_count: length of the requested stream, 0 for a plain request.
    :ivar last_event_id: id of the last event that earlier attempts received.
    :ivar sent: when the request was written completely, None before.
    :ivar reused: whether it was sent over a connection used before.
    """

    id: str
    route: str
    router_start: RouterStart
    timeout: float
    event_count: int
    last_event_id: int
    began: float = dataclasses.field(default_factory=time.monotonic)
    sent: float | None = None
    ended: float = 0.0
    reused: bool = False
    result: AttemptResult = AttemptResult.HUNG
    status: int = 0
    body: bytes = b''

    @property
    def refused(self) -> bool:
        """Return whether the answer states that it did not run."""
        return (
            self.result is AttemptResult.COMPLETE
            and self.status in NOT_RUN_STATUSES
        )

    @property
    def served(self) -> bool:
        """Return whether it was served."""
        return self.result is AttemptResult.COMPLETE and self.status == 200

    @property
    def overdue(self) -> bool:
        """Return whether it ended after its timeout."""
        return self.ended - self.began >= self.timeout


@dataclasses.dataclass
class Record:
    """All observations of one soak.

    :ivar grace: grace period of the routers in seconds.
    :ivar runs: how often upstreams ran each attempt, by its id.
    :ivar arrivals: how often each attempt reached an upstream, by its id.
    :ivar events: log of the soak's actions, with monotonic times.
    """

    grace: float
    starts: list[RouterStart] = dataclasses.field(default_factory=list)
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    runs: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    arrivals: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    events: list[str] = dataclasses.field(default_factory=list)

    def log_event(self, event: str) -> None:
        """Add an action of the soak to the log."""
        self.events.append(f'{time.monotonic():.3f} {event}')
