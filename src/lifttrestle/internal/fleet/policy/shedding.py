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
# share of its objective wherever it is sent, on its first try or a later one.
# Below one, as what other routers send meanwhile comes before it. Played at
# 1.27 times what five engines can read, 0.79 of the callers are answered in
# time, and 0.11 where 1.6 objectives were waited for and half of the time left
# of those that came back: their work made all others late
# (tests/cover/test_played_load.py). Below what the engines can read nobody is
# refused either way.
SHED_TARGETS = 0.8
# A prompt that alone takes longer than that to read is late at an idle engine,
# too. It is served while the queue before it is shorter than this share of its
# objective, or it would be refused for ever.
LONG_PROMPT_QUEUE_TARGETS = 0.25
MIN_RETRY_SECONDS = 0.4
MAX_RETRY_SECONDS = 1.0
# Without an upstream that may serve it, a request that nobody was offered yet
# is held for this share of its objective from its arrival, and then refused:
# what a caller waits for in vain it can't spend elsewhere.
HELD_TARGETS = 1 / 8
# One that an upstream has turned away or lost is held longer, and at most that
# share of its time: engines that load are back within about a second.
MAX_HELD_SECONDS = 0.8
HELD_SHARE = 0.2


@dataclasses.dataclass(frozen=True)
class ShedDecision:
    """A request is refused.

    :ivar limit: seconds that it would have been let wait.
    :ivar retry_after: seconds after which the queue should be short enough.
    """

    limit: float
    retry_after: float


def decide_shedding(
    expected: float, queue: float, target: float
) -> ShedDecision | None:
    """Return how a request is refused, or None if it is to be sent.

    :param expected: seconds until its first piece at the best engine.
    :param queue: of these, until its own prompt is read.
    :param target: its objective for the first piece, in seconds.
    """
    limit = SHED_TARGETS * target
    if expected <= limit:
        return None
    alone = expected - queue
    if alone > limit and queue <= LONG_PROMPT_QUEUE_TARGETS * target:
        return None
    excess = expected - limit
    return ShedDecision(
        limit, min(excess + MIN_RETRY_SECONDS, MAX_RETRY_SECONDS)
    )


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
