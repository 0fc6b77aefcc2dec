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

"""Rules that exclude upstreams from serving a request."""

from collections.abc import Callable
import dataclasses
import enum

from lifttrestle.internal.settings.upstream import UpstreamKind
from lifttrestle.internal.upstream.report import NO_REPORT
from lifttrestle.internal.upstream.state import UpstreamState


class Exclusion(enum.Enum):
    """Why an upstream may not serve; values appear in the decision log."""

    NONE = 'none'
    OUTSIDE_DATA_CENTRES = 'outside the place'
    ALREADY_TRIED = 'already tried'
    LEAVING = 'leaving'
    NO_REPORT = 'unproved'
    OTHER_WEIGHTS = 'other weights'
    OTHER_SOFTWARE = 'other software'
    CANNOT_CONTINUE = 'cannot continue a text'
    EJECTED = 'ejected'


@dataclasses.dataclass(frozen=True)
class Target:
    """What a request requires of an upstream.

    :ivar data_centres: those whose upstreams may serve the request.
    :ivar model: the model's name, or empty for a plain service.
    :ivar version: the required version of the model's weights.
    :ivar continues_text: whether the upstream must continue a partial
        answer.
    :ivar software: version of the software that began the answer; None before
        it has begun.
    """

    kind: UpstreamKind
    group: str
    data_centres: tuple[str, ...]
    model: str = ''
    version: str = ''
    continues_text: bool = False
    software: str | None = None


@dataclasses.dataclass(frozen=True)
class AttemptContext:
    """The other inputs of the rules.

    :ivar tried: names of the upstreams that have failed this request.
    :ivar now: monotonic time in seconds.
    """

    tried: set[str]
    now: float


Rule = Callable[[UpstreamState, Target, AttemptContext], bool]

# The first match is reported. There is no rule on the group, because the
# registry looks upstreams up by group.
RULES: tuple[tuple[Exclusion, Rule], ...] = (
    (
        Exclusion.OUTSIDE_DATA_CENTRES,
        lambda upstream, target, _: (
            upstream.settings.data_centre not in target.data_centres
        ),
    ),
    (
        Exclusion.ALREADY_TRIED,
        lambda upstream, _, context: upstream.settings.name in context.tried,
    ),
    (
        Exclusion.LEAVING,
        lambda upstream, _target, _: upstream.leaving or upstream.draining,
    ),
    (
        Exclusion.NO_REPORT,
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
        Exclusion.OTHER_SOFTWARE,
        lambda upstream, target, _: (
            target.software is not None
            and upstream.software != target.software
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
        lambda upstream, _, context: not upstream.breaker.allows(context.now),
    ),
)


def find_exclusion(
    upstream: UpstreamState, target: Target, context: AttemptContext
) -> Exclusion:
    """Return the first reason that excludes ``upstream``, or ``NONE``."""
    for reason, rule in RULES:
        if rule(upstream, target, context):
            return reason
    return Exclusion.NONE
