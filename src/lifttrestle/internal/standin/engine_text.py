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

"""The text that an engine stand-in generates.

Each word is a function of the weights and of the whole text before it, so an
answer continued elsewhere can be compared with one that never broke off.
"""

import hashlib

WORDS = (
    'across down grid clue bell tower hour spring dial anagram hint solver '
    'letter strike chime pinion escapement square seven quiet morning train '
    'answer publisher pendulum weight hammer verge crown wheel arbor'
).split()
# The model stops at about one word in four thousand.
STOP_BELOW = 16


def render_prompt(body: dict[str, object]) -> str:
    """Return the text that the model reads for a request."""
    messages = body.get('messages')
    if not isinstance(messages, list):
        return str(body.get('prompt', ''))
    open_end = bool(body.get('continue_final_message'))
    lines = []
    for message in messages:
        lines.append(f'{message["role"]}: {message["content"]}')
    text = '\n'.join(lines)
    if open_end:
        return text
    return text + '\nassistant: '


class TextGenerator:
    """Makes the words after a text, one by one.

    :param weights: the model and the version of its weights.
    :param text: all that the model has read.
    :param stops: whether the model may end by itself.
    """

    def __init__(self, weights: str, text: str, stops: bool) -> None:
        self._stops = stops
        self._digest = hashlib.sha256(f'{weights}\0{text}'.encode())

    def next_word(self) -> str | None:
        """Return the next word, or None where the model stops."""
        digest = self._digest.digest()
        if self._stops and int.from_bytes(digest[1:3], 'big') < STOP_BELOW:
            return None
        word = WORDS[digest[0] % len(WORDS)] + ' '
        self._digest.update(word.encode())
        return word
