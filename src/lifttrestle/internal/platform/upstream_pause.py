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

"""How long an upstream asks to be sent nothing after it declined a request."""

import math

from lifttrestle.internal.http.head import ResponseHead
from lifttrestle.internal.platform.upstream_limit import DECIMAL
from lifttrestle.internal.platform.upstream_limit import MAX_CHARACTERS

STATUS_UNAVAILABLE = 503
RETRY_AFTER = 'retry-after'


def read_pause(head: ResponseHead) -> tuple[float | None, str]:
    """Return the seconds, and the text if it is not a number of seconds."""
    text = head.get_header(RETRY_AFTER)
    if head.status != STATUS_UNAVAILABLE or not text:
        return None, ''
    if len(text) <= MAX_CHARACTERS and DECIMAL.fullmatch(text) is not None:
        seconds = float(text)
        if math.isfinite(seconds):
            return seconds, ''
    return None, text[:MAX_CHARACTERS]
