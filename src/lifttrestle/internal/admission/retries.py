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

"""Limits retries to a fraction of the traffic."""

MAX_BALANCE = 10.0


class RetryBudget:
    """Credits a fraction of a retry for each request.

    When many upstreams fail, unlimited retries would multiply the load on the
    remaining ones. The budget limits the additional load to ``share``.

    :param share: retries credited per first attempt.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._balance = MAX_BALANCE

    def note_request(self) -> None:
        """Credit the share of a first attempt, up to ``MAX_BALANCE``."""
        self._balance = min(self._balance + self._share, MAX_BALANCE)

    def take(self) -> bool:
        """Debit one retry; return False if the balance is below one."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
