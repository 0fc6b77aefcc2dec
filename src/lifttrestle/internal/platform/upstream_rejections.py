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

"""Reads how many rejections a second an upstream tolerates."""

import math

from lifttrestle.internal.http.head import ResponseHead
from lifttrestle.internal.platform import names
from lifttrestle.internal.platform.upstream_limit import DECIMAL
from lifttrestle.internal.platform.upstream_limit import MAX_CHARACTERS


def read_rejections(head: ResponseHead) -> float | None:
    """Return the number in an answer's head, None if absent or invalid."""
    text = head.get_header(names.BRITTLE)
    if len(text) > MAX_CHARACTERS or DECIMAL.fullmatch(text) is None:
        return None
    number = float(text)
    return number if math.isfinite(number) else None
