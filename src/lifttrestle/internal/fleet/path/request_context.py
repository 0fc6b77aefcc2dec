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

"""What one request has come to so far, for all who take part in serving it."""

import dataclasses

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.exchange.progress import RequestProgress
from lifttrestle.internal.exchange.progress import RequestState
from lifttrestle.internal.fleet.crashes.held_row import format_digest
from lifttrestle.internal.fleet.parts import FleetParts
from lifttrestle.internal.fleet.path.dialect import RequestFacts
from lifttrestle.internal.fleet.path.story import build_usage
from lifttrestle.internal.fleet.path.story import RequestStory
from lifttrestle.internal.fleet.policy.admission import admit
from lifttrestle.internal.fleet.policy.admission import AdmittedRequest
from lifttrestle.internal.fleet.policy.stopping import can_finish_in_time
from lifttrestle.internal.fleet.policy.stopping import STOPPING_RETRY_SECONDS
from lifttrestle.internal.fleet.usage.charge import UsageCharge
from lifttrestle.internal.refusal.answers import ANSWERS
from lifttrestle.internal.refusal.execution import Execution
from lifttrestle.internal.refusal.kind import ErrorKind

# When a refused caller may come back: engines free a slot within that time.
RETRY_SECONDS = 0.15
# Below this there is no time left to be served in.
MIN_LEFT_SECONDS = 0.01
# Statuses by which this router promises that a request has not run. An
# upstream that answers so without saying the same has made no such promise.
PROMISING = (408, 421, 429, 503)


@dataclasses.dataclass
class RequestContext:
    """One request and its state.

    :ivar started: when it was received, monotonic seconds.
    :ivar deadline: when it is answered at the latest, likewise.
    :ivar admitted: what it may use, by the newest configuration; renewed
        with each attempt.
    :ivar service: by which it is served.
    :ivar sends: attempts that were sent, those turned away among them.
    :ivar runs: attempts that may have run.
    :ivar digest: is the same when the request comes again.
    :ivar on_trial: it is held, and may run once more all the same.
    :ivar charge: what it takes of its workspace's cap, None before it was
        asked for and where there is no cap.
    """

    parts: FleetParts
    facts: RequestFacts
    admitted: AdmittedRequest
    story: RequestStory
    progress: RequestProgress
    started: float
    deadline: float
    service: str = ''
    sends: int = 0
    runs: int = 0
    digest: int = 0
    on_trial: bool = False
    charge: UsageCharge | None = None

    @property
    def is_repeat(self) -> bool:
        """Return whether a send would begin anew what was sent before.

        A stream that goes on for a caller who has its beginning does not.
        """
        begun = self.progress.state is RequestState.FIRST_BYTE
        return self.sends > 0 and not begun

    def get_left(self) -> float:
        """Return the seconds that are left to serve it in."""
        now = self.parts.clock.monotonic()
        return max(self.deadline - now, MIN_LEFT_SECONDS)

    def admit_again(self) -> AdmittedRequest:
        """Return what it may use now, and by which service.

        A key may have been taken away since, the route may lead elsewhere,
        or the view may have become too old to rely on.

        :raises RequestRefused: if it may not be served any more.
        """
        self.admitted = admit(self.parts, self.facts)
        names = [share.service for share in self.admitted.route.shares]
        if self.service not in names:
            self.service = self._choose_service()
        self._check_stop()
        return self.admitted

    def charge_usage(self) -> None:
        """Take what it counts of its workspace's cap, once.

        :raises RequestRefused: if nothing is left of the cap.
        """
        workspace = self.admitted.workspace
        if self.charge is not None or workspace is None:
            return
        generation = self.facts.generation
        tokens = generation.all_tokens if generation is not None else None
        charge = UsageCharge(self.parts.usage, workspace, tokens)
        facts = charge.admit()
        if facts is None:
            return
        self.story.add('usage', **build_usage(facts))
        if facts.retry_seconds is not None:
            self.parts.metrics.count_over_cap(workspace.name)
            raise RequestRefused(
                ErrorKind.RATE_LIMITED,
                f'workspace {workspace.name!r} has used its cap of'
                f' {facts.cap.rate:g} {facts.cap.unit.value} a second',
                retry_after=facts.retry_seconds,
            )
        self.charge = charge

    def check_held(self) -> None:
        """Return if it may run for all that is known of its earlier runs.

        :raises RequestRefused: if it must not. There is no time to come back
            in: the next try would be refused, too.
        """
        crashes = self.parts.crashes
        if self.on_trial or not crashes.is_held(self.digest):
            return
        if self.sends or not crashes.may_try(self.digest):
            raise self._refuse_held()

    async def check_held_to_send(self) -> None:
        """Return if it may be sent now, on trial if it is held.

        :raises RequestRefused: if it must not.
        """
        self.check_held()
        crashes = self.parts.crashes
        if self.on_trial or not crashes.is_held(self.digest):
            return
        self.on_trial = await crashes.claim_trial(self.digest)
        if not self.on_trial:
            raise self._refuse_held()

    def _refuse_held(self) -> RequestRefused:
        self.parts.crashes.note_refused(self.digest)
        return RequestRefused(
            ErrorKind.CRASHES_UPSTREAMS,
            'upstreams have crashed under this request; it is held as'
            f' {format_digest(self.digest)}',
        )

    def give_up(self, kind: ErrorKind, message: str) -> RequestRefused:
        """Return the refusal that is true of it now."""
        ran = self.progress.execution
        if ran is Execution.NOT_RUN:
            return RequestRefused(
                ErrorKind.NO_UPSTREAM, message, retry_after=RETRY_SECONDS
            )
        if kind is ErrorKind.NO_UPSTREAM:
            kind = ErrorKind.UPSTREAM_FAILED
        return RequestRefused(kind, message, ran=ran)

    def be_truthful(self, refused: RequestRefused) -> RequestRefused:
        """Promise that nothing ran only if that is so.

        A repeatable request may be refused for its key or for the age of the
        view after an attempt of which nobody knows whether it ran.
        """
        ran = self.progress.execution
        promises = ANSWERS[refused.kind].status in PROMISING
        if ran is Execution.NOT_RUN or not promises:
            return refused
        return RequestRefused(
            ErrorKind.UPSTREAM_FAILED, refused.message, ran=ran
        )

    def _check_stop(self) -> None:
        """Refuse what may not end before this process does.

        Asked before each sending, since an upstream may have turned it away,
        or lost it, when its time was nearly over. A stream that has begun goes
        on as far as it gets.
        """
        shutdown = self.parts.shutdown
        if not shutdown.begun:
            return
        if self.progress.state is RequestState.FIRST_BYTE:
            return
        limit = self.get_left()
        left = shutdown.get_serving_seconds()
        if can_finish_in_time(limit, left):
            return
        raise RequestRefused(
            ErrorKind.STOPPING,
            f'this router ends in {left:.1f} s, and the request may take'
            f' {limit:.1f} s',
            retry_after=STOPPING_RETRY_SECONDS,
        )

    def _choose_service(self) -> str:
        shares = self.admitted.route.shares
        if len(shares) == 1:
            return shares[0].service
        chosen = self.parts.source.choices(
            shares, [share.weight for share in shares]
        )
        return chosen[0].service


def begin_request(
    parts: FleetParts,
    facts: RequestFacts,
    story: RequestStory,
    progress: RequestProgress,
    started: float,
) -> RequestContext:
    """Return a request that may be served, with its time limit.

    :raises RequestRefused: if it may not be served.
    """
    admitted = admit(parts, facts)
    seconds = admitted.route.timeout_seconds
    if facts.wait_seconds is not None:
        seconds = min(seconds, facts.wait_seconds)
    request = RequestContext(
        parts, facts, admitted, story, progress, started, started + seconds
    )
    request.admit_again()
    return request
