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

"""The lines of a trace; they contain hashes and lengths, but no text."""

import msgspec


class TraceRequest(msgspec.Struct, frozen=True):
    """A recorded request.

    :ivar at: arrival time in seconds since the start of the trace.
    :ivar levels: the nested prefixes of the prompt, outermost first, each as
        its hexadecimal digest and its length in tokens from the start of the
        prompt.
    :ivar tokens: length of the prompt.
    :ivar output_tokens: length of the answer.
    :ivar priority: 0 is the most urgent.
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

    :ivar upstreams: number of engines that served the trace.
    """

    format: str
    version: int
    title: str
    upstreams: int
