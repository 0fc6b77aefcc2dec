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

"""Selects the routers that keep a record together."""

from lifttrestle.internal.fleet.state.digests import RECORD_DIGEST_BYTES
from lifttrestle.internal.routing.rendezvous import rank_names

# With 195 routers in front of 59 engines with 24 slots, half of which crash, 5
# owners receive 975 records of crashes; sending to all routers would take
# 37,800.
OWNER_COUNT = 5


def choose_owners(digest: int, routers: list[str]) -> list[str]:
    """Return the routers that keep the record with a digest."""
    if len(routers) <= OWNER_COUNT:
        return routers
    key_bytes = digest.to_bytes(RECORD_DIGEST_BYTES, 'big')
    return rank_names(key_bytes, routers)[:OWNER_COUNT]
