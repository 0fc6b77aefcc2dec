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

"""For how long a follower relies on relays that confirm nothing.

Relays confirm that tables are current. One that is silent may be gone; one
that tells that it waits for the store is only late. If all followers of late
relays read the store too, it gets later and their relays with it.
"""

# Without a confirmation and without a word of a relay.
DEFAULT_TIMEOUT_SECONDS = 1.1
# Fleets of up to this many routers may all read the store.
MAX_READERS = 15
# This share of the followers reads it soon, one after the other: a
# configuration as old as that still lets a router accept connections.
PROBING_SHARE = 0.25
PROBING_SPREAD_SECONDS = 1.0
# The others wait for as long as their configuration lets them serve.
RELYING_SECONDS = 1.8
RELYING_SPREAD_SECONDS = 0.7


def compute_patience(share: float) -> float:
    """Return for how much longer a follower relies on relays that wait.

    :param share: evenly spread over routers, 0 to 1.
    """
    if share < PROBING_SHARE:
        return PROBING_SPREAD_SECONDS * share / PROBING_SHARE
    rest = (share - PROBING_SHARE) / (1 - PROBING_SHARE)
    return RELYING_SECONDS + RELYING_SPREAD_SECONDS * rest


def get_timeout(
    patience: float, allowance: float, silent_seconds: float, routers: int
) -> float:
    """Return after how long without a confirmation the store is read.

    :param patience: of this follower, as ``compute_patience`` returns it.
    :param allowance: seconds by which other processes may be late.
    :param silent_seconds: since a relay sent something.
    :param routers: size of the fleet.
    """
    silent = silent_seconds > DEFAULT_TIMEOUT_SECONDS + allowance
    if silent or routers <= MAX_READERS:
        patience = 0.0
    longest = max(PROBING_SPREAD_SECONDS, patience)
    return DEFAULT_TIMEOUT_SECONDS + min(patience + allowance, longest)
