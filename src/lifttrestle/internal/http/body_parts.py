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

"""Parts of bodies, so that a large one is not in memory twice."""

from collections.abc import Iterator

PART_BYTES = 64 * 1024


def split_body(body: bytes) -> Iterator[bytes]:
    """Yield the parts of a body; a small one is a part as it is."""
    if len(body) <= PART_BYTES:
        yield body
        return
    for start in range(0, len(body), PART_BYTES):
        yield body[start : start + PART_BYTES]
