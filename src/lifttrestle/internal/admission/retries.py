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

"""Keeps retries to a share of the traffic."""

MAX_SAVED = 10.0


class RetryBudget:
    """Earns a fraction of a retry with each request.

    While upstreams fail in numbers, retries would multiply the load on those
    that are left; with a budget they add at most the share.

    :param share: retries earned by each first attempt.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._saved = MAX_SAVED

    def note_request(self) -> None:
        """Earn for a first attempt."""
        self._saved = min(self._saved + self._share, MAX_SAVED)

    def take(self) -> bool:
        """Spend a retry; return False if none is left."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
