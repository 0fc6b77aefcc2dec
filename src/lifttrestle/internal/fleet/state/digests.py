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

"""Short hashes that stand for texts in messages between routers."""

import hashlib

# Size of the digest of a request or a stream whose record routers replicate.
# With a million records kept at the same time, the probability that any
# two have the same digest is one in 37 million.
RECORD_DIGEST_BYTES = 8


def compute_digest(data: bytes, size: int) -> int:
    """Return the hash of ``data`` as a number of ``size`` bytes."""
    digest = hashlib.blake2b(data, digest_size=size).digest()
    return int.from_bytes(digest, 'big')
