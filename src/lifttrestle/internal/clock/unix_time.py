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

"""Unix time in milliseconds, as rows of the shared tables have it."""

from lifttrestle.internal.clock.clock import Clock

MILLISECONDS = 1000


def get_unix_ms(clock: Clock) -> int:
    """Return the wall time in Unix milliseconds."""
    return int(clock.now().timestamp() * MILLISECONDS)
