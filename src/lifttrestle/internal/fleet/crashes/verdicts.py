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

"""Which of the requests and prompt parts at crashed upstreams are at fault.

With an upstream end some 16 requests, so whatever they contain was there. A
crash that a known culprit explains speaks against nothing else:

1. A part whose crashes all happened under one dangerous request is explained
   by that request.
2. Of the parts, the one with the most crashes comes first. What it explains
   does not count against those with fewer; for one that never succeeded, two
   crashes that nothing explains are enough then.
3. First parts come after the others, since many requests share them. For what
   has succeeded, crashes that are close together count as one.
4. What the guilty parts explain does not count against requests.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import itertools

from lifttrestle.internal.fleet.crashes.hold_rules import count_episodes
from lifttrestle.internal.fleet.crashes.hold_rules import is_dangerous
from lifttrestle.internal.fleet.crashes.suspects import SuspectKind

# Number of upstreams that a part may crash. A part of several requests that
# merely ran beside a guilty one loses three upstreams more easily than one
# request does.
PART_CRASH_LIMIT = 4
# So many of those crashes must not be explained otherwise. Of two guilty parts
# that come at the same time, one explains most crashes of the other.
UNEXPLAINED_LIMIT = 2


@dataclasses.dataclass(frozen=True)
class Suspect:
    """A request or a part that was at upstreams that crashed.

    :ivar crashed_at: detection time of each crash, seconds by the digest of
        the start that crashed.
    :ivar succeeded: whether it has ever succeeded, or may have.
    """

    digest: int
    kind: SuspectKind
    crashed_at: Mapping[int, float]
    succeeded: bool


@dataclasses.dataclass(frozen=True)
class Verdicts:
    """The outcome of a judgement.

    :ivar guilty: digests of the requests and parts that must be held.
    :ivar explained: digests of the starts that guilty parts have crashed.
    """

    guilty: frozenset[int] = frozenset()
    explained: frozenset[int] = frozenset()


def judge(suspects: Iterable[Suspect]) -> Verdicts:
    """Return which of the suspects must be held."""
    suspects = list(suspects)
    requests = [item for item in suspects if item.kind is SuspectKind.REQUEST]
    dangerous = [
        set(item.crashed_at) for item in requests if _is_dangerous(item, set())
    ]
    parts = [
        item
        for item in suspects
        if item.kind is not SuspectKind.REQUEST
        and not any(item.crashed_at.keys() <= starts for starts in dangerous)
    ]
    guilty: set[int] = set()
    explained: set[int] = set()
    # Those of equal rank don't explain each other.
    for _, group in itertools.groupby(sorted(parts, key=_rank), key=_rank):
        found = [item for item in group if _is_guilty_part(item, explained)]
        guilty.update(item.digest for item in found)
        for item in found:
            explained.update(item.crashed_at)
    guilty.update(
        item.digest for item in requests if _is_dangerous(item, explained)
    )
    return Verdicts(frozenset(guilty), frozenset(explained))


def _rank(part: Suspect) -> tuple[SuspectKind, int]:
    return part.kind, -len(part.crashed_at)


def _is_guilty_part(part: Suspect, explained: set[int]) -> bool:
    times = _list_times(part, explained)
    if part.succeeded:
        return count_episodes(times) >= PART_CRASH_LIMIT
    if part.kind is SuspectKind.FIRST_PART:
        return len(times) >= PART_CRASH_LIMIT
    return (
        len(part.crashed_at) >= PART_CRASH_LIMIT
        and len(times) >= UNEXPLAINED_LIMIT
    )


def _is_dangerous(request: Suspect, explained: set[int]) -> bool:
    times = _list_times(request, explained)
    return is_dangerous(times, succeeded=request.succeeded)


def _list_times(suspect: Suspect, explained: set[int]) -> list[float]:
    """Return the times of the crashes that nothing else explains."""
    return sorted(
        at
        for start, at in suspect.crashed_at.items()
        if start not in explained
    )
