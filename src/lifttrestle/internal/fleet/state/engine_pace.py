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

"""How fast the engines of a service read prompts, as their answers tell.

An answer tells the time that its unread tokens took, and those that were to be
read before it. The median of the last ones is what the choice of engines, and
the refusal of what would be late, rest on; a figure of one deployment's
engines holds for no other: 17 microseconds a token there were 30 on the next.
Answers that met a queue count too: in overload there are no others, and with
the prior instead of what they tell 0.53 of the callers were in time, not 0.79
(tests/cover/test_played_load.py).
"""

import collections

# Until answers tell; the pace of the first deployment's engines.
PRIOR_READ_SECONDS = 1 / 57_000
# From a request's arrival to its first token, beside reading: two steps.
FIRST_STEP_SECONDS = 0.03
# Answers that count; a busy router has as many in two seconds.
MAX_ANSWERS = 64
# With fewer, the prior makes up for the rest.
MIN_ANSWERS = 8
# Shorter prompts take little more than the two steps.
MIN_UNREAD_TOKENS = 1500


class EnginePace:
    """What is learned of the engines of one service."""

    def __init__(self) -> None:
        self._seconds: collections.deque[float] = collections.deque(
            maxlen=MAX_ANSWERS
        )
        self.read_seconds = PRIOR_READ_SECONDS

    def note_answer(
        self, queue_tokens: int, unread_tokens: int, seconds: float
    ) -> None:
        """Learn from an answer.

        :param queue_tokens: that were to be read there before its own.
        :param unread_tokens: of its own prompt.
        :param seconds: from its sending to its first token.
        """
        if unread_tokens < MIN_UNREAD_TOKENS:
            return
        reading = max(seconds - FIRST_STEP_SECONDS, 0.0)
        self._seconds.append(reading / (queue_tokens + unread_tokens))
        missing = max(MIN_ANSWERS - len(self._seconds), 0)
        known = sorted([*self._seconds, *[PRIOR_READ_SECONDS] * missing])
        # The upper of two in the middle. Nothing else needs the library that
        # has a median, and loading it takes 5 ms of each start.
        self.read_seconds = known[len(known) // 2]
