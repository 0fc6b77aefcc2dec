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

"""Chooses the upstream of each attempt and records its outcome."""

from collections.abc import Iterator
import contextlib
import dataclasses

from lifttrestle.errors import RequestRefused
from lifttrestle.errors import UpstreamDeclined
from lifttrestle.internal.exchange.progress import RequestEvent
from lifttrestle.internal.refusal.kind import ErrorKind
from lifttrestle.internal.router.attempt import Attempt
from lifttrestle.internal.router.cut import describe_outcome
from lifttrestle.internal.router.parts import RouterParts
from lifttrestle.internal.router.scope import RequestScope
from lifttrestle.internal.routing.candidate import Candidate
from lifttrestle.internal.routing.prompt import Prompt
from lifttrestle.internal.telemetry.decision import Decision
from lifttrestle.internal.upstream.exclusion import Target
from lifttrestle.internal.upstream.report import EngineReport
from lifttrestle.internal.upstream.state import UpstreamState

# Additional network latency to an upstream in another data centre.
REMOTE_LATENCY_SECONDS = 0.003
RETRY_SECONDS = 1.0


class UpstreamChooser:
    """Applies the routing policy to the upstreams available to a request."""

    def __init__(self, parts: RouterParts) -> None:
        self._parts = parts

    def choose(
        self,
        scope: RequestScope,
        target: Target,
        prompt: Prompt,
        tried: set[str],
        number: int,
    ) -> Attempt:
        """Choose an upstream and return the attempt.

        :param tried: names of the upstreams to exclude.
        :param number: the number of the attempt, from 1.
        :raises RequestRefused: if no upstream may serve the request now.
        """
        parts = self._parts
        target = self._restrict_data_centres(scope, target)
        available = parts.registry.list_available(target, tried)
        name = target.model or target.group
        if not available:
            raise RequestRefused(
                ErrorKind.NO_UPSTREAM,
                f'no upstream can serve {name!r} now:'
                f' {parts.registry.explain(target, tried)}',
                retry_after=RETRY_SECONDS,
            )
        candidates = [
            self._build_candidate(upstream) for upstream in available
        ]
        now = parts.clock.monotonic()
        choice = parts.policy.choose(prompt, candidates, now)
        upstream = parts.registry.get(choice.name)
        decision = Decision(
            request_id=scope.request_id,
            workspace=scope.workspace.name,
            data_centre=upstream.settings.data_centre,
            target=name,
            upstream=upstream.name,
            reason=choice.reason,
            expected_seconds=choice.expected_seconds,
            expected_cached=choice.expected_cached,
        )
        return Attempt(
            number=number,
            upstream=upstream,
            candidate=self._build_candidate(upstream),
            choice=choice,
            decision=decision,
        )

    def _restrict_data_centres(
        self, scope: RequestScope, target: Target
    ) -> Target:
        """Remove data centres that the current configuration forbids.

        A request that was queued or is retried was admitted under an earlier
        configuration, which may have allowed its workspace more data centres.
        """
        document = self._parts.keeper.view.document
        workspace = document.workspaces.get(scope.workspace.name)
        allowed = workspace.data_centres if workspace else ()
        data_centres = tuple(
            name for name in target.data_centres if name in allowed
        )
        local = self._parts.settings.router.data_centre
        if local not in data_centres:
            raise RequestRefused(
                ErrorKind.WRONG_PLACE,
                f'workspace {scope.workspace.name!r} is no longer served in'
                f' {local!r}',
                field='data_centre',
                details={'data_centres': list(allowed)},
            )
        return dataclasses.replace(target, data_centres=data_centres)

    @contextlib.contextmanager
    def track(self, attempt: Attempt) -> Iterator[None]:
        """Count the attempt as in flight and log its decision at the end."""
        parts = self._parts
        attempt.sent_at = parts.clock.monotonic()
        attempt.upstream.in_flight += 1
        attempt.upstream.breaker.note_sent(attempt.sent_at)
        try:
            yield
        except BaseException as error:
            attempt.decision.outcome = describe_outcome(
                error, parts.stop.begun
            )
            raise
        finally:
            attempt.upstream.in_flight -= 1
            parts.decisions.write(attempt.decision)
            parts.metrics.count(f'attempts.{attempt.decision.target}')

    def note_failure(
        self, scope: RequestScope, attempt: Attempt, error: Exception
    ) -> None:
        """Record a failure with the circuit breaker.

        A request that the upstream declined is no failure.
        """
        if isinstance(error, UpstreamDeclined):
            scope.progress.apply(RequestEvent.DECLINED)
            return
        now = self._parts.clock.monotonic()
        attempt.upstream.breaker.note_failure(now)
        self._parts.metrics.count('attempts_failed')

    def note_first_byte(self, attempt: Attempt) -> None:
        """Record that the upstream's answer has started."""
        now = self._parts.clock.monotonic()
        attempt.upstream.breaker.note_success()
        if not attempt.decision.observed_seconds:
            attempt.decision.observed_seconds = now - attempt.sent_at
            self._parts.metrics.time(
                'first_byte', attempt.decision.observed_seconds
            )

    def note_usage(
        self, attempt: Attempt, prompt: Prompt, cached: int, tokens: int
    ) -> None:
        """Record a complete answer and pass its cache use to the policy.

        :param cached: tokens of the prompt that the engine had cached.
        :param tokens: generated tokens.
        """
        attempt.decision.observed_cached = cached
        attempt.decision.tokens = tokens
        attempt.decision.outcome = 'complete'
        now = self._parts.clock.monotonic()
        self._parts.policy.observe(prompt, attempt.candidate, cached, now)

    def _build_candidate(self, upstream: UpstreamState) -> Candidate:
        settings = upstream.settings
        local = self._parts.settings.router.data_centre
        report = upstream.report
        reported = 0
        if isinstance(report, EngineReport):
            reported = report.running + report.waiting
        return Candidate(
            name=settings.name,
            incarnation=upstream.incarnation,
            slots=settings.slots,
            prefill_tokens_per_second=settings.prefill_tokens_per_second,
            in_flight=upstream.in_flight,
            reported=reported,
            distance_seconds=(
                0.0
                if settings.data_centre == local
                else REMOTE_LATENCY_SECONDS
            ),
        )
