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

"""The state of one request, shared by the classes that serve it."""

import dataclasses

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.exchange.progress import RequestProgress
from lifttrestle.internal.exchange.progress import RequestState
from lifttrestle.internal.fleet.parts import FleetParts
from lifttrestle.internal.fleet.path.dialect import RequestFacts
from lifttrestle.internal.fleet.path.event_buffer import build_usage_fields
from lifttrestle.internal.fleet.path.event_buffer import EventBuffer
from lifttrestle.internal.fleet.policy.admission import admit
from lifttrestle.internal.fleet.policy.admission import AdmittedRequest
from lifttrestle.internal.fleet.policy.admission import get_urgency
from lifttrestle.internal.fleet.policy.software_room import rank_new_stream
from lifttrestle.internal.fleet.policy.stopping import can_finish_in_time
from lifttrestle.internal.fleet.policy.stopping import STOPPING_RETRY_SECONDS
from lifttrestle.internal.fleet.state.reach import NEVER
from lifttrestle.internal.fleet.streams.binding import StreamBinding
from lifttrestle.internal.fleet.usage.charge import UsageCharge
from lifttrestle.internal.refusal.answers import ANSWER_RULES
from lifttrestle.internal.refusal.execution import Execution
from lifttrestle.internal.refusal.kind import ErrorKind

# Retry-After of refused requests: engines free a slot within that time.
RETRY_SECONDS = 0.15
# Lower bound of the remaining time of a request.
MIN_REMAINING_SECONDS = 0.01
# Statuses by which this router promises that a request has not run. Such a
# status of an upstream is no promise unless the answer also states explicitly
# that the request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass
class RequestContext:
    """One request and its state.

    :ivar received_at: when it was received, in monotonic seconds.
    :ivar deadline: latest time of the answer, in monotonic seconds.
    :ivar admitted: its route and workspace by the newest configuration;
        updated with each attempt.
    :ivar binding: limits which upstreams may serve it.
    :ivar service: the service whose upstreams serve it.
    :ivar sends: how many attempts were sent, including declined ones.
    :ivar sent_at: when it was last sent, in monotonic seconds.
    :ivar runs: how many attempts may have run.
    :ivar digest: identifies the request when it is repeated.
    :ivar part_digests: identify the shared parts of its prompt, in order.
    :ivar on_trial: whether it may run once more although it is held.
    :ivar charge: its share of the usage cap of its workspace, None before it
        is charged and if there is no cap.
    :ivar cost_seconds: engine time that counts for the share of its workspace,
        None before the first choice of an engine and without a share.
    """

    parts: FleetParts
    facts: RequestFacts
    admitted: AdmittedRequest
    event_buffer: EventBuffer
    progress: RequestProgress
    received_at: float
    deadline: float
    binding: StreamBinding
    service: str = ''
    sends: int = 0
    sent_at: float = NEVER
    runs: int = 0
    digest: int = 0
    part_digests: tuple[int, ...] = ()
    on_trial: bool = False
    charge: UsageCharge | None = None
    cost_seconds: float | None = None

    @property
    def is_repeat(self) -> bool:
        """Return whether a send would start the request from the beginning.

        Resuming a stream whose beginning the caller has received does not.
        """
        begun = self.progress.state is RequestState.FIRST_BYTE
        return self.sends > 0 and not begun

    @property
    def is_restricted(self) -> bool:
        """Return whether some upstreams may not continue its stream."""
        origin = self.binding.origin
        if origin is None:
            return False
        listed = self.parts.streams.count_versions(origin.service)
        return bool(listed.keys() - {origin.software_version})

    @property
    def urgency(self) -> int:
        """Return its priority at upstreams, 0 is the highest."""
        urgency = get_urgency(self.admitted)
        is_new = self.admitted.route.streams and self.binding.origin is None
        if is_new and self.parts.streams.has_several_versions(self.service):
            return rank_new_stream(urgency)
        return urgency

    def get_remaining_seconds(self) -> float:
        """Return the seconds until the deadline."""
        now = self.parts.clock.monotonic()
        return max(self.deadline - now, MIN_REMAINING_SECONDS)

    def readmit(self) -> AdmittedRequest:
        """Admit the request again by the current configuration.

        Since the last admission its key may have been revoked, its route may
        have changed, or the router's view may have become stale.

        :raises RequestRefused: if it may not be served any more.
        """
        self.admitted = admit(self.parts, self.facts)
        self._update_service()
        self._check_stopping()
        return self.admitted

    def charge_usage(self) -> None:
        """Charge the request to the usage cap of its workspace, once.

        :raises RequestRefused: if the cap is used up.
        """
        workspace = self.admitted.workspace
        if self.charge is not None or workspace is None:
            return
        generation = self.facts.generation
        tokens = generation.all_tokens if generation is not None else None
        charge = UsageCharge(self.parts.usage, workspace, tokens)
        decision = charge.admit()
        if decision is None:
            return
        self.event_buffer.add('usage', **build_usage_fields(decision))
        if decision.retry_seconds is not None:
            self.parts.metrics.count_over_cap(workspace.name)
            raise RequestRefused(
                ErrorKind.RATE_LIMITED,
                f'workspace {workspace.name!r} has used its cap of'
                f' {decision.cap.rate:g} {decision.cap.unit.value} a second',
                retry_after=decision.retry_seconds,
            )
        self.charge = charge

    def make_refusal(self, kind: ErrorKind, message: str) -> RequestRefused:
        """Return a refusal that states correctly whether the request ran.

        If it did not run, the kind is ``NO_UPSTREAM`` and the caller may
        retry, unless its stream can't be resumed.
        """
        ran = self.progress.execution
        if ran is Execution.NOT_RUN:
            if kind is ErrorKind.STREAM_NOT_RESUMABLE:
                return RequestRefused(kind, message)
            return RequestRefused(
                ErrorKind.NO_UPSTREAM, message, retry_after=RETRY_SECONDS
            )
        if kind in (ErrorKind.NO_UPSTREAM, ErrorKind.STREAM_NOT_RESUMABLE):
            kind = ErrorKind.UPSTREAM_FAILED
        return RequestRefused(kind, message, ran=ran)

    def correct_refusal(self, refused: RequestRefused) -> RequestRefused:
        """Replace a refusal that would wrongly state that nothing ran.

        A repeatable request may be refused, because of its key or a stale
        view, after an attempt that may have run.
        """
        ran = self.progress.execution
        states_not_run = ANSWER_RULES[refused.kind].status in NOT_RUN_STATUSES
        if ran is Execution.NOT_RUN or not states_not_run:
            return refused
        return RequestRefused(
            ErrorKind.UPSTREAM_FAILED, refused.message, ran=ran
        )

    def _check_stopping(self) -> None:
        """Refuse a request that might outlast this process.

        Checked before each send, since an earlier attempt may have been
        declined or lost shortly before the process ends. A stream that has
        begun continues until the process ends.
        """
        shutdown = self.parts.shutdown
        if not shutdown.begun:
            return
        if self.progress.state is RequestState.FIRST_BYTE:
            return
        request_seconds = self.get_remaining_seconds()
        serving_seconds = shutdown.get_serving_seconds()
        if can_finish_in_time(request_seconds, serving_seconds):
            return
        raise RequestRefused(
            ErrorKind.STOPPING,
            f'this router stops in {serving_seconds:.1f} s, and the request'
            f' may take {request_seconds:.1f} s',
            retry_after=STOPPING_RETRY_SECONDS,
        )

    def _update_service(self) -> None:
        """Choose a service that the route leads to, unless it has one.

        :raises RequestRefused: if the stream was begun by another service.
        """
        names = [share.service for share in self.admitted.route.shares]
        origin = self.binding.origin
        if origin is None:
            if self.service not in names:
                self.service = self._choose_service()
            return
        if origin.service not in names:
            raise self.make_refusal(
                ErrorKind.STREAM_NOT_RESUMABLE,
                f'the route {self.admitted.route.name!r} leads no longer to'
                f' the service {origin.service!r}, which began the stream',
            )
        self.service = origin.service

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
    event_buffer: EventBuffer,
    progress: RequestProgress,
    received_at: float,
    binding: StreamBinding,
) -> RequestContext:
    """Admit a request and return its context, with its deadline.

    :raises RequestRefused: if it may not be served.
    """
    admitted = admit(parts, facts)
    seconds = admitted.route.timeout_seconds
    if facts.wait_seconds is not None:
        seconds = min(seconds, facts.wait_seconds)
    request = RequestContext(
        parts,
        facts,
        admitted,
        event_buffer,
        progress,
        received_at,
        received_at + seconds,
        binding,
    )
    request.readmit()
    return request
