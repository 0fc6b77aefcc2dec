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

"""Rules by which requests that crash upstreams are held and released.

The rules limit the damage of a request that crashes every upstream that runs
it and whose caller retries it at any router. It may take down three upstreams
for some seconds each, with the requests that they run for other callers.
Without the rules the same load took down four or all of five engines seven
times within 70 s.
"""

import collections
from collections.abc import Iterable

# Number of upstreams that a request may crash. A lower limit would also hold
# requests that merely ran beside a dangerous one: they are retried at the same
# next upstream as that request and lose two upstreams in a row.
CRASH_LIMIT = 3
# Crashes within this time count as one for a request that has succeeded
# before: groups of upstreams also crash for other reasons, and a popular
# request runs at several of them at once. Such a group crashes within about
# 0.5 s.
EPISODE_SECONDS = 1.0
# Duration of a hold. The same request comes again within minutes or hours, or
# after a day from a daily job. After that time the upstreams may have been
# fixed, so the request may run again.
HOLD_SECONDS = 86_400.0
# A held request gets a trial run, one in the whole fleet, so that a request
# that was held by mistake is released. If the hold was right, the trial costs
# another crash with about 20 requests in progress. For a popular request,
# this many refusals at one router cost as much. Without an early trial, a
# popular request stayed held in one of 13 seeds of a soak, in which all
# upstreams crashed before it had succeeded anywhere.
TRIAL_REFUSALS = 10
# Minimum age of the hold for an early trial; groups and chains of crashes are
# over by then.
EARLY_TRIAL_SECONDS = 1.0
# Delay of the trial of a request with fewer refusals.
TRIAL_SECONDS = 600.0
# Delay of the second and last trial, after the first one has failed.
LAST_TRIAL_SECONDS = 3600.0


def is_dangerous(crashed_at: Iterable[float], *, succeeded: bool) -> bool:
    """Return whether a request must be held.

    :param crashed_at: detection time in seconds of each crash of an upstream
        under the request since its last success.
    :param succeeded: whether the request has succeeded before.
    """
    times = sorted(crashed_at)
    count = count_episodes(times) if succeeded else len(times)
    return count >= CRASH_LIMIT


def count_episodes(times: list[float]) -> int:
    """Return the number of episodes of crashes that are close together.

    :param times: times of the crashes in ascending order, in seconds.
    """
    count = 0
    begin = float('-inf')
    for time in times:
        if time - begin > EPISODE_SECONDS:
            count += 1
            begin = time
    return count


def allows_trial(held_seconds: float, *, refusals: int, trials: int) -> bool:
    """Return whether a held request may have a trial run.

    :param refusals: number of its refusals at this router during the hold.
    :param trials: number of its trials at all routers.
    """
    if trials == 0:
        early = (
            refusals >= TRIAL_REFUSALS and held_seconds >= EARLY_TRIAL_SECONDS
        )
        return early or held_seconds >= TRIAL_SECONDS
    return trials == 1 and held_seconds >= LAST_TRIAL_SECONDS


def choose_evicted(workspaces: dict[int, str]) -> int:
    """Return the digest of the held request to release.

    It is the oldest one of the workspace with the most holds, so that one
    workspace can't evict the holds of others.

    :param workspaces: workspace of each held request, the oldest hold first.
    """
    counts = collections.Counter(workspaces.values())
    highest = max(counts.values())
    return next(
        digest
        for digest, workspace in workspaces.items()
        if counts[workspace] == highest
    )
