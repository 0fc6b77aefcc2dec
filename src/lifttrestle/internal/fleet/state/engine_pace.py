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

"""Prefill time per token of the engines of a service, from their answers.

Each answer gives the time that its uncached tokens and those queued before it
took. The choice of engines and load shedding use the median of the latest
answers, since the value of one deployment's engines does not hold for another:
17 microseconds a token on one were 30 on the next. Answers that waited in a
queue count too: under overload there are no others, and with the prior in
place of their values 0.53 of the callers were served in time, not 0.79
(tests/cover/test_played_load.py).
"""

import collections

# Assumed until there are answers: the value of the first deployment's engines.
PRIOR_PREFILL_SECONDS = 1 / 57_000
# Time to first token without prefill: two steps of the engine.
FIRST_STEP_SECONDS = 0.03
# Size of the window; a busy router receives as many answers in two seconds.
MAX_ANSWERS = 64
# With fewer answers, the prior takes the place of the missing ones.
MIN_ANSWERS = 8
# Answers with fewer uncached tokens take little more than the two steps.
MIN_UNREAD_TOKENS = 1500


class EnginePace:
    """Estimates the prefill time per token of the engines of one service.

    :ivar prefill_seconds: the estimate, seconds per token.
    """

    def __init__(self) -> None:
        self._seconds: collections.deque[float] = collections.deque(
            maxlen=MAX_ANSWERS
        )
        self.prefill_seconds = PRIOR_PREFILL_SECONDS

    def note_answer(
        self,
        queue_tokens: int,
        unread_tokens: int,
        seconds: float,
        slowdown: float = 1.0,
    ) -> None:
        """Add the sample of an answer.

        :param queue_tokens: uncached tokens queued at the engine before it.
        :param unread_tokens: uncached tokens of its own prompt.
        :param seconds: time from sending the request to its first token.
        :param slowdown: factor by which the engine was known to be slower than
            its service; without it, slow engines would raise the estimate for
            the others.
        """
        if unread_tokens < MIN_UNREAD_TOKENS:
            return
        duration = max(seconds / slowdown - FIRST_STEP_SECONDS, 0.0)
        self._seconds.append(duration / (queue_tokens + unread_tokens))
        missing = max(MIN_ANSWERS - len(self._seconds), 0)
        samples = sorted([*self._seconds, *[PRIOR_PREFILL_SECONDS] * missing])
        # The upper median. The statistics module has one, but importing it
        # for this alone would add 5 ms to each start.
        self.prefill_seconds = samples[len(samples) // 2]
