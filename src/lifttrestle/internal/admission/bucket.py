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

"""A token bucket rate limiter; callers pass the current time."""


class TokenBucket:
    """Limits the rate of events and permits short bursts.

    :param rate: tokens per second.
    :param burst: capacity in tokens; at least one.
    :param now: monotonic time in seconds.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self._burst = max(burst, 1.0)
        self._tokens = self._burst
        self._refilled_at = now

    def take(self, now: float) -> float:
        """Take a token if there is one.

        :returns: 0 if a token was taken, else the seconds until there is one.
        """
        self._refill(now)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self.rate

    def _refill(self, now: float) -> None:
        gained = max(now - self._refilled_at, 0.0) * self.rate
        self._tokens = min(self._tokens + gained, self._burst)
        self._refilled_at = now
