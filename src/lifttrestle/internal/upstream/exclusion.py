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

import dataclasses
import enum

from lifttrestle.internal.settings.upstream import UpstreamKind
from lifttrestle.internal.upstream.report import UNPROVED
from lifttrestle.internal.upstream.state import UpstreamState


class Exclusion(enum.Enum):
    """The closed list of reasons; the value stands in the decision log."""

    NONE = 'none'
    OUTSIDE_PLACE = 'outside the place'
    OTHER_GROUP = 'other group'
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


def find_exclusion(
    upstream: UpstreamState, target: Target, tried: set[str], now: float
) -> Exclusion:
    """Return the first reason against ``upstream``, or ``NONE``."""
    settings = upstream.settings
    rules = (
        (
            settings.kind is not target.kind or settings.group != target.group,
            Exclusion.OTHER_GROUP,
        ),
        (
            settings.data_centre not in target.data_centres,
            Exclusion.OUTSIDE_PLACE,
        ),
        (upstream.name in tried, Exclusion.ALREADY_TRIED),
        (upstream.leaving or upstream.draining, Exclusion.LEAVING),
        (
            settings.can.reports_state and upstream.report is UNPROVED,
            Exclusion.UNPROVED,
        ),
        (
            bool(target.model)
            and upstream.get_version(target.model) != target.version,
            Exclusion.OTHER_WEIGHTS,
        ),
        (
            target.continues_text and not settings.can.continues_text,
            Exclusion.CANNOT_CONTINUE,
        ),
        (not upstream.breaker.allows(now), Exclusion.EJECTED),
    )
    for excluded, reason in rules:
        if excluded:
            return reason
    return Exclusion.NONE
