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

"""Speed of single engines, from the times to first token of their answers.

A sample is the observed time divided by the one expected at the speed of the
service. Queueing that the router did not know of only increases a sample, so
the lowest of the recent samples of all routers bounds the speed of an engine.
An answer that is overdue counts with the time that it has taken so far, as
the first answers of an engine that turned slow come after up to a second.
"""

from collections.abc import Iterable
import dataclasses

from lifttrestle.internal.fleet.state.engine_pace import FIRST_STEP_SECONDS

# Answers that are older don't count, so that traffic leaves an engine within a
# second after it turned slow.
WINDOW_SECONDS = 0.8
# Slow answers count for longer: a slow engine gets so few requests that the
# number of samples needed takes longer than the window.
SLOW_WINDOW_SECONDS = 2.0
# A few samples may all have waited in a queue that was not known.
MIN_SAMPLES = 4
# Without new samples, the slowdown in excess of 1 halves in this time.
HALF_LIFE_SECONDS = 1.0
# An engine is considered slow from the first slowdown on, and no longer below
# the second one. Estimates of usual engines vary by as much as the second one,
# so smaller slowdowns are ignored.
SLOW_FROM = 1.5
SLOW_UNTIL = 1.2
# An answer is slow, or overdue if it is pending, from this multiple of the
# expected time on.
SLOW_RATIO = 1.5
# Bounds of a sample, so that no ratio of two samples is extreme.
MIN_RATIO = 0.01
MAX_RATIO = 100.0


@dataclasses.dataclass(frozen=True)
class LowestSample:
    """The lowest sample of an engine in the window.

    :ivar ratio: observed time to first token divided by the expected one.
    :ivar samples: number of samples in the window, at least one.
    """

    ratio: float
    samples: int


@dataclasses.dataclass(frozen=True)
class SpeedEstimate:
    """Estimated speed of an engine.

    :ivar slowdown: factor by which it is slower than its service, at least 1.
    :ivar confirmed: the slowdown that enough samples showed last, at least 1.
    :ivar estimated_at: monotonic time in seconds.
    :ivar is_slow: whether it is considered slow.
    """

    slowdown: float = 1.0
    confirmed: float = 1.0
    estimated_at: float = 0.0
    is_slow: bool = False


def expect_first_token(
    queue_tokens: int, unread_tokens: int, prefill_seconds: float
) -> float:
    """Return the time to first token at the speed of the service.

    :param queue_tokens: uncached tokens queued at the engine before it.
    :param unread_tokens: uncached tokens of the prompt.
    :param prefill_seconds: prefill time per token.
    """
    prefill = (queue_tokens + unread_tokens) * prefill_seconds
    return prefill + FIRST_STEP_SECONDS


def compute_sample(observed_seconds: float, expected_seconds: float) -> float:
    """Return the sample of an answer, between its bounds.

    :param expected_seconds: expected time, above zero.
    """
    ratio = observed_seconds / expected_seconds
    return min(max(ratio, MIN_RATIO), MAX_RATIO)


def is_recent(ratio: float, age: float, window: float) -> bool:
    """Return whether an answer counts.

    :param age: time since it began, in seconds.
    :param window: for how long answers that are not slow count, in seconds.
    """
    return age <= (window if ratio < SLOW_RATIO else SLOW_WINDOW_SECONDS)


def find_lowest(
    answered: Iterable[float], pending: Iterable[float]
) -> LowestSample | None:
    """Return the lowest sample of an engine, None if there is none.

    :param answered: ratios of the answers in the window.
    :param pending: ratios that pending answers have reached.
    """
    ratios = list(answered)
    ratios += [ratio for ratio in pending if ratio >= SLOW_RATIO]
    return LowestSample(min(ratios), len(ratios)) if ratios else None


def merge_lowest(
    first: LowestSample | None, second: LowestSample | None
) -> LowestSample | None:
    """Return the lowest of the samples of two groups of routers."""
    if first is None or second is None:
        return first or second
    return LowestSample(
        min(first.ratio, second.ratio), first.samples + second.samples
    )


def find_reference(ratios: Iterable[float]) -> float:
    """Return the ratio of a usual engine of a service.

    It is the lower median: if only one of two engines is slow, the other one
    is the usual one.
    """
    ordered = sorted(ratios)
    return ordered[(len(ordered) - 1) // 2] if ordered else 1.0


def update_estimate(
    previous: SpeedEstimate,
    seen: LowestSample | None,
    reference: float,
    now: float,
) -> SpeedEstimate:
    """Return the speed of an engine given the samples in the window.

    A single sample lowers the slowdown. Enough samples are needed to raise it;
    while the engine is considered slow, fewer restore the confirmed slowdown.

    :param seen: samples of all routers, None if there are none.
    :param reference: ratio of a usual engine of the service.
    """
    slowdown = _decay(previous.slowdown, now - previous.estimated_at)
    confirmed = previous.confirmed if previous.is_slow else 1.0
    if seen is not None:
        observed = max(seen.ratio / reference, 1.0)
        if seen.samples >= MIN_SAMPLES:
            slowdown = confirmed = observed
        else:
            slowdown = min(observed, max(slowdown, confirmed))
    limit = SLOW_UNTIL if previous.is_slow else SLOW_FROM
    return SpeedEstimate(slowdown, confirmed, now, slowdown >= limit)


def _decay(slowdown: float, seconds: float) -> float:
    excess = (slowdown - 1.0) * 0.5 ** (seconds / HALF_LIFE_SECONDS)
    return 1.0 + excess
