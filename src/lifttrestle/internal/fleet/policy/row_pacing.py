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

"""How often a router writes its row of a table, and reads tables again."""

# Writes of all routers together, a twentieth of what the store accepts.
MAX_WRITES_PER_SECOND = 20.0
# An origin of a stream that began within this time before all routers end may
# not be stored.
MIN_WRITE_SECONDS = 0.2
# Two reads each; of all routers together, a fifth of what the store accepts.
MAX_REFRESHES_PER_SECOND = 200.0
# Any caller can ask for what makes a router read again.
MIN_REFRESH_SECONDS = 0.25


def get_write_seconds(routers: int) -> float:
    """Return the least time in seconds between two writes of one router."""
    return max(MIN_WRITE_SECONDS, routers / MAX_WRITES_PER_SECOND)


def get_refresh_seconds(routers: int) -> float:
    """Return the least time in seconds between two reads again of a router."""
    return max(MIN_REFRESH_SECONDS, routers / MAX_REFRESHES_PER_SECOND)
