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

"""Reads the store's epoch from the headers of its answers.

| header | meaning |
| --- | --- |
| absent | the store has no epochs or does not report them |
| one decimal integer, possibly repeated with the same value | that epoch |
| anything else, including a sign or a value out of range | invalid answer |
"""

import re

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.fleet.state.row_version import MAX_EPOCH
from lifttrestle.internal.http.answer import Header
from lifttrestle.internal.platform import names

DECIMAL = re.compile(r'[0-9]{1,20}')


def read_epoch(headers: tuple[Header, ...]) -> int | None:
    """Return the epoch in an answer's headers, or None if there is none.

    :raises PlatformUnavailable: if the header is invalid.
    """
    values = {value for key, value in headers if key == names.STORE_EPOCH}
    if not values:
        return None
    text = ', '.join(sorted(values))
    if DECIMAL.fullmatch(text) and int(text) <= MAX_EPOCH:
        return int(text)
    raise PlatformUnavailable(
        f'the store sent an invalid epoch {text[:40]!r}; expected one decimal'
        f' integer of at most {MAX_EPOCH}'
    )
