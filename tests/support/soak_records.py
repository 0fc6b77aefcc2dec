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

"""What a soak of planned stops has seen, for its rules to judge."""

import asyncio
import collections
import contextlib
import dataclasses
import enum
import time

PROMISING = (408, 421, 429, 503)


async def sleep(done: asyncio.Event, seconds: float) -> None:
    """Return after some seconds, or when the play is done."""
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(done.wait(), seconds)


class AttemptResult(enum.Enum):
    """How one try of a request ended for its caller."""

    UNREACHED = 'no connection'
    CLOSED = 'closed without an answer'
    CUT = 'answer cut short'
    HUNG = 'neither answer nor end'
    COMPLETE = 'whole answer'


@dataclasses.dataclass
class RouterStart:
    """One process of a router; times are monotonic seconds.

    :ivar ready: when it was seen to be.
    :ivar signalled: when it was told to stop.
    :ivar announced: when it was seen to know that.
    :ivar paused: the driver did that, so that it can't keep its times.
    """

    name: str
    ready: float | None = None
    signalled: float | None = None
    announced: float | None = None
    exited: float | None = None
    code: int | None = None
    paused: bool = False
    killed: bool = False


@dataclasses.dataclass
class Attempt:
    """One try of a request.

    :ivar limit: seconds after which it may be given up in any case.
    :ivar wanted: the events of its stream, of which it has ``after``.
    :ivar sent: when it was written whole, None before.
    """

    id: str
    route: str
    router_start: RouterStart
    limit: float
    wanted: int
    after: int
    began: float = dataclasses.field(default_factory=time.monotonic)
    sent: float | None = None
    ended: float = 0.0
    kept: bool = False
    result: AttemptResult = AttemptResult.HUNG
    status: int = 0
    body: bytes = b''

    @property
    def refused(self) -> bool:
        """Return whether it was told that it did not run."""
        return (
            self.result is AttemptResult.COMPLETE and self.status in PROMISING
        )

    @property
    def served(self) -> bool:
        """Return whether it was served."""
        return self.result is AttemptResult.COMPLETE and self.status == 200

    @property
    def overdue(self) -> bool:
        """Return whether its time was over when it ended."""
        return self.ended - self.began >= self.limit


@dataclasses.dataclass
class Record:
    """All that was seen in one play.

    :ivar runs: how often each try ran, by its id.
    :ivar arrivals: how often it reached an upstream.
    :ivar events: what the driver did, and when.
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

    def log_event(self, what: str) -> None:
        """Note what the driver did."""
        self.events.append(f'{time.monotonic():.3f} {what}')
