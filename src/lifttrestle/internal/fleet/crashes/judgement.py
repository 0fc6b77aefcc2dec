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

"""Decides which requests run no more for what they did to upstreams.

The load that this answers: one request that crashes each upstream that begins
to run it, and whose caller comes again, at any router. Three upstreams are
away for some seconds each, with all that they had under way for others; the
same load without this took four or all of five engines away, seven times in
70 s.
"""

import collections
from collections.abc import Iterable

# Upstreams that a request may crash. Fewer would hold what merely ran beside a
# dangerous request: its neighbours are sent on to the next upstream together
# with it, and lose two in a row.
CRASH_LIMIT = 3
# Of a request that has ended well, crashes within this time count as one:
# upstreams also die by themselves, in herds, and what many callers ask for is
# under way at several of them. A herd is gone within some 0.5 s.
EPISODE_SECONDS = 1.0
# How long a request is held. The same request is asked for again within
# minutes or hours, by a job that is repeated each day after a day; upstreams
# that were mended since are worth a new try.
HOLD_SECONDS = 86_400.0
# A held request may run once more, in the whole fleet, so that one that was
# wronged has a way back; another crash, with some 20 requests under way, is
# the price if it was not. What many ask for costs as much after so many
# refusals at one router; it was held for good in one of 13 seeds of a soak,
# in which all upstreams crashed before it had ended well anywhere.
TRIAL_REFUSALS = 10
# Herds and chains of crashes are over by then.
EARLY_SECONDS = 1.0
# What few ask for has its trial after this.
TRIAL_SECONDS = 600.0
# After a trial that went wrong there is one more.
LAST_TRIAL_SECONDS = 3600.0


def is_dangerous(crashed_at: Iterable[float], *, ended_well: bool) -> bool:
    """Return whether a request is to run no more.

    :param crashed_at: when it was learned of each upstream that crashed under
        it, in seconds; only those since its last good end.
    :param ended_well: it has ended well before.
    """
    times = sorted(crashed_at)
    count = count_episodes(times) if ended_well else len(times)
    return count >= CRASH_LIMIT


def count_episodes(times: list[float]) -> int:
    """Return how many moments there are, of those that lie close together.

    :param times: in order, in seconds.
    """
    count = 0
    begin = float('-inf')
    for time in times:
        if time - begin > EPISODE_SECONDS:
            count += 1
            begin = time
    return count


def may_try_again(held_seconds: float, *, refusals: int, trials: int) -> bool:
    """Return whether a held request may run once more.

    :param refusals: of it at this router, since it is held.
    :param trials: that it has had, at all routers.
    """
    if trials == 0:
        early = refusals >= TRIAL_REFUSALS and held_seconds >= EARLY_SECONDS
        return early or held_seconds >= TRIAL_SECONDS
    return trials == 1 and held_seconds >= LAST_TRIAL_SECONDS


def choose_evicted(workspaces: dict[int, str]) -> int:
    """Return which of too many held requests is held no more.

    One caller's requests make place for each other before those of any other
    caller do.

    :param workspaces: of each held request, the longest held first.
    """
    counts = collections.Counter(workspaces.values())
    crowded = max(counts.values())
    return next(
        digest
        for digest, workspace in workspaces.items()
        if counts[workspace] == crowded
    )
