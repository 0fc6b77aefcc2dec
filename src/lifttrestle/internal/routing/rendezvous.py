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

"""Rendezvous hashing: routers rank names alike without communication."""

import hashlib


def rank_names(digest: bytes, names: list[str]) -> list[str]:
    """Return ``names`` by descending rendezvous score for ``digest``.

    Removing a name does not change the order of the others.

    :param digest: hash key of at most 64 bytes.
    """
    scores = {name: _score(digest, name) for name in names}
    return sorted(names, key=scores.__getitem__, reverse=True)


def draw_share(name: str) -> float:
    """Return a number of 0 to 1 that is evenly spread over names."""
    return int.from_bytes(_score(b'', name), 'big') / 2**64


def _score(digest: bytes, name: str) -> bytes:
    return hashlib.blake2b(name.encode(), key=digest, digest_size=8).digest()
