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

"""Decides whether a request is refused rather than sent to wait.

The load that this answers: engines are fewer than their work for some
seconds, after a change of weights or a crash. To join a queue that is already
too long makes a request late, and all that follow it as well.
"""

import dataclasses

# A request is refused when its first piece is expected to take more than this
# many times its objective wherever it is sent. Half of the answers come sooner
# than expected, and a request that is refused has lost what it is worth in
# time for sure: at 1.0 the mean worth over three days with trouble of three
# seeds was 0.513, at 1.6 it was 0.533.
SHED_TARGETS = 1.6
MIN_RETRY_SECONDS = 0.4
MAX_RETRY_SECONDS = 1.0
# A caller with less than this share of its route's time has been here before.
FIRST_COME_SHARE = 0.95
# It is served if its first piece comes within this share of what is left: a
# caller that comes back with a part of its time gone is not turned away again
# while it can be served at all.
RETURNED_SHARE = 0.5
# Without an upstream that may serve it, a request that nobody was offered yet
# is held for this share of its objective from its arrival, and then refused:
# what a caller waits for in vain it can't spend elsewhere.
HELD_TARGETS = 1 / 8
# One that an upstream has turned away or lost is held longer, and at most that
# share of its time: engines that load are back within about a second.
MAX_HELD_SECONDS = 0.8
HELD_SHARE = 0.2


@dataclasses.dataclass(frozen=True)
class Wait:
    """What a request would wait for at the best engine, in seconds.

    :ivar expected: until its first piece.
    :ivar target: its objective for that.
    :ivar left: of the caller's time.
    :ivar timeout: of its route; what a caller's first try may take.
    """

    expected: float
    target: float
    left: float
    timeout: float


@dataclasses.dataclass(frozen=True)
class Shedding:
    """A request is refused.

    :ivar limit: seconds that it would have been let wait.
    :ivar retry_after: seconds after which the queue should be short enough.
    """

    limit: float
    retry_after: float


def judge_wait(wait: Wait) -> Shedding | None:
    """Return how a request is refused, or None if it is to be sent."""
    limit = SHED_TARGETS * wait.target
    if wait.left < FIRST_COME_SHARE * wait.timeout:
        limit = max(limit, wait.left * RETURNED_SHARE)
    if wait.expected <= limit:
        return None
    excess = wait.expected - limit
    return Shedding(limit, min(excess + MIN_RETRY_SECONDS, MAX_RETRY_SECONDS))


def find_hold_end(
    started: float, now: float, target: float, left: float, *, offered: bool
) -> float:
    """Return until when a request may wait for an upstream.

    :param started: when it arrived, monotonic seconds as the result.
    :param target: its objective in seconds.
    :param left: of the caller's time, in seconds.
    :param offered: it was sent to an upstream before.
    """
    if not offered:
        return started + HELD_TARGETS * target
    return now + min(MAX_HELD_SECONDS, left * HELD_SHARE)
