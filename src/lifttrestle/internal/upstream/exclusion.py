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

"""Why an upstream may not serve a request."""

from collections.abc import Callable
import dataclasses
import enum

from lifttrestle.internal.settings.upstream import UpstreamKind
from lifttrestle.internal.upstream.report import NO_REPORT
from lifttrestle.internal.upstream.state import UpstreamState


class Exclusion(enum.Enum):
    """The closed list of reasons; the value stands in the decision log."""

    NONE = 'none'
    OUTSIDE_PLACE = 'outside the place'
    ALREADY_TRIED = 'already tried'
    LEAVING = 'leaving'
    UNPROVED = 'unproved'
    OTHER_WEIGHTS = 'other weights'
    CANNOT_CONTINUE = 'cannot continue a text'
    EJECTED = 'ejected'


@dataclasses.dataclass(frozen=True)
class Target:
    """What a request needs of an upstream.

    :ivar model: the model's name, or empty for a plain service.
    :ivar version: the version of its weights that must answer.
    :ivar continues_text: whether it must go on from a partial answer.
    """

    kind: UpstreamKind
    group: str
    data_centres: tuple[str, ...]
    model: str = ''
    version: str = ''
    continues_text: bool = False


@dataclasses.dataclass(frozen=True)
class Attempted:
    """What else a rule looks at.

    :ivar tried: names of upstreams that have failed the request.
    :ivar now: the monotonic time.
    """

    tried: set[str]
    now: float


Rule = Callable[[UpstreamState, Target, Attempted], bool]

# In the order in which they are told; the group is the registry's index.
RULES: tuple[tuple[Exclusion, Rule], ...] = (
    (
        Exclusion.OUTSIDE_PLACE,
        lambda upstream, target, _: (
            upstream.settings.data_centre not in target.data_centres
        ),
    ),
    (
        Exclusion.ALREADY_TRIED,
        lambda upstream, _, attempted: (
            upstream.settings.name in attempted.tried
        ),
    ),
    (
        Exclusion.LEAVING,
        lambda upstream, _target, _: upstream.leaving or upstream.draining,
    ),
    (
        Exclusion.UNPROVED,
        lambda upstream, _target, _: (
            upstream.report is NO_REPORT
            and upstream.settings.can.reports_state
        ),
    ),
    (
        Exclusion.OTHER_WEIGHTS,
        lambda upstream, target, _: (
            bool(target.model)
            and upstream.get_version(target.model) != target.version
        ),
    ),
    (
        Exclusion.CANNOT_CONTINUE,
        lambda upstream, target, _: (
            target.continues_text and not upstream.settings.can.continues_text
        ),
    ),
    (
        Exclusion.EJECTED,
        lambda upstream, _, attempted: (
            not upstream.breaker.allows(attempted.now)
        ),
    ),
)


def find_exclusion(
    upstream: UpstreamState, target: Target, attempted: Attempted
) -> Exclusion:
    """Return the first reason against ``upstream``, or ``NONE``."""
    for reason, rule in RULES:
        if rule(upstream, target, attempted):
            return reason
    return Exclusion.NONE
