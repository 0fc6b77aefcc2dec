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

"""Chooses the upstream of an attempt and keeps count of its outcome."""

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

REMOTE_SECONDS = 0.003
RETRY_SECONDS = 1.0


class UpstreamChooser:
    """Applies the routing policy to the upstreams that fit a request."""

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
        """Return the next attempt.

        :param tried: names of upstreams to leave out.
        :param number: how many attempts the request will have had with it.
        :raises RequestRefused: if no upstream may serve the request now.
        """
        parts = self._parts
        target = self._narrow_place(scope, target)
        fit = parts.registry.list_available(target, tried)
        name = target.model or target.group
        if not fit:
            raise RequestRefused(
                ErrorKind.NO_UPSTREAM,
                f'no upstream can serve {name!r} now:'
                f' {parts.registry.explain(target, tried)}',
                retry_after=RETRY_SECONDS,
            )
        candidates = [self._describe(upstream) for upstream in fit]
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
            candidate=self._describe(upstream),
            choice=choice,
            decision=decision,
        )

    def _narrow_place(self, scope: RequestScope, target: Target) -> Target:
        """Leave out data centres that a newer configuration forbids.

        A request that waited, or is tried again, was admitted under an older
        one; its place may have shrunk since.
        """
        document = self._parts.keeper.view.document
        workspace = document.workspaces.get(scope.workspace.name)
        allowed = workspace.data_centres if workspace else ()
        data_centres = tuple(
            name for name in target.data_centres if name in allowed
        )
        here = self._parts.settings.router.data_centre
        if here not in data_centres:
            raise RequestRefused(
                ErrorKind.WRONG_PLACE,
                f'workspace {scope.workspace.name!r} is no longer served in'
                f' {here!r}',
                field='data_centre',
                details={'data_centres': list(allowed)},
            )
        return dataclasses.replace(target, data_centres=data_centres)

    @contextlib.contextmanager
    def track(self, attempt: Attempt) -> Iterator[None]:
        """Count the attempt as in flight, and log it when it ends."""
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
        """Hold a failure against the upstream, unless it only declined."""
        if isinstance(error, UpstreamDeclined):
            scope.progress.apply(RequestEvent.DECLINED)
            return
        now = self._parts.clock.monotonic()
        attempt.upstream.breaker.note_failure(now)
        self._parts.metrics.count('attempts_failed')

    def note_first_byte(self, attempt: Attempt) -> None:
        """Note that the upstream's answer has begun."""
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
        """Learn from the token counts of a complete answer."""
        attempt.decision.observed_cached = cached
        attempt.decision.tokens = tokens
        attempt.decision.outcome = 'complete'
        now = self._parts.clock.monotonic()
        self._parts.policy.observe(prompt, attempt.candidate, cached, now)

    def _describe(self, upstream: UpstreamState) -> Candidate:
        settings = upstream.settings
        here = self._parts.settings.router.data_centre
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
                0.0 if settings.data_centre == here else REMOTE_SECONDS
            ),
        )
