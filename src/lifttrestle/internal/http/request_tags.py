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

"""Which requests a connection has carried.

A server may send an answer once more where the next one is expected. The id in
it tells to which request it belongs, unless the connection carried two with
that id.
"""

# Most requests that one connection carries if they have tags, about 60 bytes
# each.
MAX_TAGS = 128


class RequestTags:
    """The tags of the requests that one connection has carried."""

    def __init__(self) -> None:
        # Hashes take less memory; two alike cost a connection only.
        self._hashes: set[int] = set()

    @property
    def is_full(self) -> bool:
        """Return whether no further tag can be remembered."""
        return len(self._hashes) >= MAX_TAGS

    def add(self, tag: str) -> None:
        """Remember a tag; an empty one stands for none."""
        if tag:
            self._hashes.add(hash(tag))

    def __contains__(self, tag: str) -> bool:
        """Return whether a request with a tag may have been carried."""
        return hash(tag) in self._hashes
