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

"""Deterministic text generation of an engine stand-in.

Each word is a function of the weights and of the whole text before it. This
allows tests to compare an answer that another engine continued with an answer
that was not interrupted.
"""

import hashlib

WORDS = (
    'across down grid clue bell tower hour spring dial anagram hint solver '
    'letter strike chime pinion escapement square seven quiet morning train '
    'answer publisher pendulum weight hammer verge crown wheel arbor'
).split()
# Of 65,536 values; the model stops at about one word in 4,000.
STOP_THRESHOLD = 16


def render_prompt(body: dict[str, object]) -> str:
    """Return the prompt of a request as the model receives it.

    Renders the messages of a chat request with a plain chat template.
    """
    messages = body.get('messages')
    if not isinstance(messages, list):
        return str(body.get('prompt', ''))
    continues_final = bool(body.get('continue_final_message'))
    lines = []
    for message in messages:
        lines.append(f'{message["role"]}: {message["content"]}')
    text = '\n'.join(lines)
    if continues_final:
        return text
    return text + '\nassistant: '


class TextGenerator:
    """Generates the words that follow a text, one by one.

    :param weights: the model and the version of its weights.
    :param text: the prompt.
    :param can_stop: whether the model may stop before the token limit.
    """

    def __init__(self, weights: str, text: str, can_stop: bool) -> None:
        self._can_stop = can_stop
        self._digest = hashlib.sha256(f'{weights}\0{text}'.encode())

    def next_word(self) -> str | None:
        """Return the next word, or None if the model stops."""
        digest = self._digest.digest()
        if (
            self._can_stop
            and int.from_bytes(digest[1:3], 'big') < STOP_THRESHOLD
        ):
            return None
        word = WORDS[digest[0] % len(WORDS)] + ' '
        self._digest.update(word.encode())
        return word
