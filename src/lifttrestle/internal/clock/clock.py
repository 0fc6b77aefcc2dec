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

"""The clock interface that all time-dependent code uses."""

import abc
import datetime


class Clock(abc.ABC):
    """A source of wall time and monotonic time."""

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Return the wall time as a timezone-aware datetime in UTC."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds since an arbitrary origin; never decreases.

        Time during which the machine is suspended is included.
        """

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Return after ``seconds`` of monotonic time."""
