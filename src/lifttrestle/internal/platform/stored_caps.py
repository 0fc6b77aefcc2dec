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

"""Decodes the usage caps of workspaces.

| configuration | effect |
| --- | --- |
| no rate, or a rate of zero | no limit |
| no burst, or a burst of zero | unused units do not accumulate |
| no unit | requests are counted |
| no plain_tokens | a request without a token count uses zero tokens |
| negative, too large, or of another type or unit | no limit, and a fault |
"""

import math

from lifttrestle.errors import InputRefused
from lifttrestle.internal.fleet.policy.usage_caps import UsageCap
from lifttrestle.internal.fleet.policy.usage_caps import UsageUnit
from lifttrestle.internal.intake.fault import InputFault
from lifttrestle.internal.platform.records import TenantRecord

# Largest rate and burst: above this, sums of floats lose single tokens.
MAX_UNITS = 1e15
UNITS = {
    None: UsageUnit.REQUESTS,
    'requests': UsageUnit.REQUESTS,
    'token_count': UsageUnit.TOKENS,
}


def read_cap(record: TenantRecord) -> UsageCap | None:
    """Return a workspace's usage cap, or None if it is not limited.

    :raises InputRefused: if a field is invalid.
    """
    rate = _read_units(record, 'rate_per_s')
    burst = _read_units(record, 'burst')
    plain = _read_units(record, 'plain_tokens')
    if not isinstance(record.unit, str | None) or record.unit not in UNITS:
        raise _refuse(record, 'unit')
    if not rate:
        return None
    return UsageCap(rate, burst, UNITS[record.unit], plain)


def _read_units(record: TenantRecord, field: str) -> float:
    value = getattr(record, field)
    if value is None:
        return 0.0
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _refuse(record, field)
    if not 0 <= value <= MAX_UNITS or math.isnan(value):
        raise _refuse(record, field)
    return float(value)


def _refuse(record: TenantRecord, field: str) -> InputRefused:
    value = str(getattr(record, field))[:40]
    return InputRefused(
        InputFault.FIELD,
        f'workspace {record.name!r} is not limited: invalid {field} {value}',
    )
