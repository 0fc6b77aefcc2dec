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

"""Derives prefix levels and cache salts of requests."""

import hashlib

from lifttrestle.internal.routing.prompt import PrefixLevel
from lifttrestle.internal.routing.prompt import Prompt

CHARS_PER_TOKEN = 4
MAX_LEVELS = 4
DIGEST_BYTES = 8
# A single text has no message boundaries. It is split at these offsets, in
# characters.
SPLIT_OFFSETS = (1024, 8192, 32768)


def derive_prompt(salt: str, parts: list[str], cache_key: str = '') -> Prompt:
    """Return the prefix levels and the estimated length of a prompt.

    A level ends at each message boundary but the last, up to ``MAX_LEVELS``
    levels. Lengths are estimated at ``CHARS_PER_TOKEN``.

    :param salt: result of ``derive_salt``; it starts every digest.
    :param parts: texts of the messages in order, or a single text.
    :param cache_key: cache hint of the caller; if not empty, it forms the
        outermost level.
    """
    pieces = _split_text(parts[0]) if len(parts) == 1 else parts
    digest = hashlib.blake2b(salt.encode(), digest_size=DIGEST_BYTES)
    levels: list[PrefixLevel] = []
    if cache_key:
        digest.update(cache_key.encode())
        levels.append(PrefixLevel(digest.digest(), 0))
    chars = 0
    last = len(pieces) - 1
    for index, piece in enumerate(pieces):
        digest.update(b'\0' + piece.encode())
        chars += len(piece)
        if index < last or last == 0:
            levels.append(
                PrefixLevel(digest.digest(), chars // CHARS_PER_TOKEN)
            )
    return Prompt(tuple(levels[:MAX_LEVELS]), chars // CHARS_PER_TOKEN)


def derive_salt(workspace: str, model: str, version: str) -> str:
    """Return the cache salt of a workspace, a model and its version.

    The salt prevents workspaces, and versions of the weights, from sharing
    cached prefixes.
    """
    text = f'{workspace}\0{model}\0{version}'
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def _split_text(text: str) -> list[str]:
    pieces = []
    start = 0
    for end in SPLIT_OFFSETS:
        if len(text) <= end:
            break
        pieces.append(text[start:end])
        start = end
    pieces.append(text[start:])
    return pieces
