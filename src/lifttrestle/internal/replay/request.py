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

"""One request of a trace; hashes and lengths only, never text."""

import msgspec


class TraceRequest(msgspec.Struct, frozen=True):
    """What replay needs to know of a request.

    :ivar at: seconds from the start of the trace.
    :ivar levels: a pair of hexadecimal digest and cumulative tokens for
        each nested prefix, outermost first.
    :ivar tokens: the length of the whole prompt.
    :ivar output_tokens: the length of the answer.
    """

    at: float
    workspace: str
    model: str
    levels: tuple[tuple[str, int], ...]
    tokens: int
    output_tokens: int
    priority: int = 5


class TraceHeader(msgspec.Struct, frozen=True):
    """The first line of a trace.

    :ivar upstreams: how many replicas served it.
    """

    format: str
    version: int
    title: str
    upstreams: int
