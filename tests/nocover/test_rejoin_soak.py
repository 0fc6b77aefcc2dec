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

"""Soak of streams that are taken up again as all routers start.

One software version serves, and all engines are replaced by ones of the next,
drained or crashed, while all routers are killed at once; the store is away at
times. Callers come back at once, and again until they have the whole stream.
The rules are a and b of ``test_version_soak``.

To run more seeds by hand; the exit code is 1 if a rule was broken::

    python -m tests.nocover.test_rejoin_soak --seeds 50
"""

import sys
import unittest

from tests.nocover.test_version_soak import check_seeds
from tests.nocover.test_version_soak import format_outcome
from tests.support.rejoin_soak import run_seed
from tests.support.router_soak import run_command_line


class TestSoak(unittest.IsolatedAsyncioTestCase):
    async def test_streams_are_not_joined_from_two_versions(self):
        await check_seeds(self, run_seed)


if __name__ == '__main__':
    sys.exit(run_command_line(run_seed, format_outcome))
