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

"""Records when the answers of upstreams begin."""

from lifttrestle.internal.fleet.parts import FleetParts
from lifttrestle.internal.fleet.path.attempt import FIRST_CLIENT_ERROR
from lifttrestle.internal.fleet.path.attempt import UpstreamAnswer
from lifttrestle.internal.fleet.path.dialect import AttemptOptions
from lifttrestle.internal.fleet.path.event_buffer import build_answered_fields
from lifttrestle.internal.fleet.path.request_context import RequestContext
from lifttrestle.internal.fleet.policy.engine_speed import expect_first_token
from lifttrestle.internal.fleet.policy.placement import Placement

# An engine that reads from an unreachable cache store waits some hundred
# milliseconds for it: if an answer begins later than expected by more than
# this, the store is probed.
FETCH_LATE_SECONDS = 0.2
# A prompt with this many tokens to prefill keeps an engine busy for 30 ms or
# more, so it is reported to the other routers at once.
LONG_PROMPT_TOKENS = 1000


class AnswerRecorder:
    """Records when answers to one request begin, against what was expected.

    :ivar answered_fields: log fields of the last attempt that was answered.
    """

    def __init__(self, request: RequestContext) -> None:
        self._parts = request.parts
        self._request = request
        self.answered_fields: dict[str, object] = {}
        self._first_answer_seconds = 0.0

    def expect_usual(self, chosen: Placement) -> float:
        """Return the time to first byte expected at the usual speed."""
        parts = self._parts
        service = self._request.service
        if not parts.engine_speeds.is_enabled(service):
            return 0.0
        if self._request.facts.generation is None:
            return parts.engine_speeds.expect_plain(service)
        return expect_first_token(
            chosen.queue_tokens,
            chosen.unread_tokens,
            parts.get_pace(service).prefill_seconds,
        )

    def record(
        self,
        chosen: Placement,
        attempt_id: int,
        options: AttemptOptions,
        answer: UpstreamAnswer,
        sent_at: float,
        usual_seconds: float,
    ) -> None:
        """Record when an answer began, compared to the expected time.

        :param usual_seconds: time expected at the usual speed of the service.
        """
        request = self._request
        first_byte_at = self._parts.clock.monotonic()
        seconds = first_byte_at - sent_at
        chosen.upstream.note_first_byte(
            attempt_id, first_byte_at, chosen.slowdown
        )
        report_long_prompt(self._parts, chosen)
        self._parts.metrics.observe_first_byte(
            request.service, seconds, chosen.expected_seconds
        )
        if not self.answered_fields:
            self._first_answer_seconds = first_byte_at - request.received_at
        self.answered_fields = build_answered_fields(
            chosen, seconds, self._first_answer_seconds, options
        )
        if seconds > chosen.expected_seconds + FETCH_LATE_SECONDS:
            self._suspect_store(options)
        self._record_engine_answer(chosen, options, answer, seconds)
        if answer.facts.status < FIRST_CLIENT_ERROR:
            # Answers with an error status come sooner and show no speed.
            self._parts.engine_speeds.record_answer(
                chosen.upstream, usual_seconds, seconds, first_byte_at
            )

    def _record_engine_answer(
        self,
        chosen: Placement,
        options: AttemptOptions,
        answer: UpstreamAnswer,
        seconds: float,
    ) -> None:
        generation = self._request.facts.generation
        if generation is None:
            return
        self._parts.get_pace(self._request.service).note_answer(
            chosen.queue_tokens,
            chosen.unread_tokens,
            seconds,
            chosen.slowdown,
        )
        if answer.facts.weights is not None:
            chosen.upstream.note_weights(
                generation.model,
                answer.facts.weights,
                self._parts.clock.monotonic(),
            )
        if options.cache is not None:
            self._parts.sources.note_served(options.cache, generation)

    def _suspect_store(self, options: AttemptOptions) -> None:
        """Request a probe of the store that the engine may have waited for."""
        if options.cache is not None and options.cache.source:
            self._parts.stores.suspect(options.cache.source)


def report_long_prompt(parts: FleetParts, chosen: Placement) -> None:
    """Report to other routers that a long prefill started or ended."""
    if chosen.unread_tokens >= LONG_PROMPT_TOKENS:
        parts.note_load_change()
