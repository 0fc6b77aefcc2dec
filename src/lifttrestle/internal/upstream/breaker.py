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

"""A circuit breaker for upstreams that fail repeatedly."""

import enum

FAILURE_THRESHOLD = 3
FIRST_OPEN_SECONDS = 0.5
MAX_OPEN_SECONDS = 15.0


class BreakerState(enum.Enum):
    """Whether requests may be sent to an upstream."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half open'


class BreakerEvent(enum.Enum):
    """Events that change the state of a breaker."""

    SUCCESS = 'success'
    FAILURE = 'failure'
    THRESHOLD = 'threshold'
    COOLED = 'cooled'


TRANSITIONS: dict[tuple[BreakerState, BreakerEvent], BreakerState] = {
    (BreakerState.CLOSED, BreakerEvent.THRESHOLD): BreakerState.OPEN,
    (BreakerState.OPEN, BreakerEvent.COOLED): BreakerState.HALF_OPEN,
    (BreakerState.OPEN, BreakerEvent.SUCCESS): BreakerState.CLOSED,
    (BreakerState.HALF_OPEN, BreakerEvent.SUCCESS): BreakerState.CLOSED,
    (BreakerState.HALF_OPEN, BreakerEvent.FAILURE): BreakerState.OPEN,
}


class Breaker:
    """A circuit breaker; callers pass the monotonic time in seconds.

    When half open, it permits one trial request and waits for its outcome.
    Each failed trial doubles the time until the next one, up to
    ``MAX_OPEN_SECONDS``.
    """

    def __init__(self) -> None:
        self.state = BreakerState.CLOSED
        self._failures = 0
        self._open_until = 0.0
        self._open_seconds = FIRST_OPEN_SECONDS
        self._trial_until = 0.0

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        if self.state is BreakerState.OPEN and now >= self._open_until:
            self._apply(BreakerEvent.COOLED)
            self._trial_until = 0.0
        if self.state is BreakerState.HALF_OPEN:
            return now >= self._trial_until
        return self.state is BreakerState.CLOSED

    def note_sent(self, now: float) -> None:
        """Record that a request was sent; when half open, it is the trial."""
        if self.state is BreakerState.HALF_OPEN:
            self._trial_until = now + self._open_seconds

    def note_success(self) -> None:
        """Record a successful answer."""
        self._failures = 0
        self._open_seconds = FIRST_OPEN_SECONDS
        self._apply(BreakerEvent.SUCCESS)

    def note_failure(self, now: float) -> None:
        """Record a failed connection, a broken answer or a timeout."""
        self._failures += 1
        event = BreakerEvent.FAILURE
        if self._failures >= FAILURE_THRESHOLD:
            event = BreakerEvent.THRESHOLD
        if self.state is BreakerState.HALF_OPEN:
            event = BreakerEvent.FAILURE
            self._open_seconds = min(self._open_seconds * 2, MAX_OPEN_SECONDS)
        before = self.state
        self._apply(event)
        if self.state is BreakerState.OPEN and before is not self.state:
            self._open_until = now + self._open_seconds

    def _apply(self, event: BreakerEvent) -> None:
        self.state = TRANSITIONS.get((self.state, event), self.state)
