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

"""Reads the rate limit that an upstream reports for all routers together.

| header | meaning |
| --- | --- |
| absent | no limit is in force |
| one decimal number, zero or more, with or without exponent | that rate |
| the same value repeated | that rate |
| different values, an empty or blank value, a word, a comma | invalid |
| a sign, NaN, infinity, overflow of a float, or over 40 characters | invalid |

An invalid value is ignored: it neither sets nor removes a limit.
"""

import math
import re

from lifttrestle.errors import InputRefused
from lifttrestle.internal.fleet.policy.known_limit import ReportedLimit
from lifttrestle.internal.http.answer import Header
from lifttrestle.internal.intake.fault import InputFault
from lifttrestle.internal.platform import names

MAX_CHARACTERS = 40
DECIMAL = re.compile(r'[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]{1,3})?')
NO_LIMIT = ReportedLimit()


def read_limit(headers: tuple[Header, ...]) -> ReportedLimit:
    """Return the limit in an answer's headers, in requests per second."""
    values = {value for key, value in headers if key == names.LIMIT}
    if not values:
        return NO_LIMIT
    text = ', '.join(sorted(values))
    if len(text) <= MAX_CHARACTERS and DECIMAL.fullmatch(text):
        rate = float(text)
        if math.isfinite(rate):
            return ReportedLimit(rate)
    return ReportedLimit(
        fault=InputRefused(
            InputFault.FIELD,
            f'the limit {text[:MAX_CHARACTERS]!r} is invalid and is ignored;'
            ' send one decimal number of requests per second, zero or more',
        )
    )
