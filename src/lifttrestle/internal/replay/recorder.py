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

"""Records the requests that a router serves as a trace.

A trace contains hashes and lengths, but no text of prompts or answers.
"""

import pathlib

import msgspec

from lifttrestle.internal.replay.request import TraceRequest
from lifttrestle.internal.replay.trace import make_header
from lifttrestle.internal.routing.prompt import Prompt


class TraceRecorder:
    """Appends one line to a file for each answered model request.

    :param path: the file; an existing one is overwritten.
    :param upstreams: number of engines in the settings of the router.
    :param started_at: monotonic time in seconds at which the trace starts.
    """

    def __init__(
        self, path: pathlib.Path, title: str, upstreams: int, started_at: float
    ) -> None:
        self._started_at = started_at
        self._file = path.open('wb', buffering=0)
        self._write(make_header(title, upstreams))

    def record(
        self,
        at: float,
        workspace: str,
        model: str,
        prompt: Prompt,
        output_tokens: int,
        priority: int,
    ) -> None:
        """Append a request.

        :param at: monotonic time in seconds at which it arrived.
        :param output_tokens: length of the answer.
        """
        levels = tuple(
            (level.digest.hex(), level.tokens) for level in prompt.levels
        )
        request = TraceRequest(
            at=round(at - self._started_at, 6),
            workspace=workspace,
            model=model,
            levels=levels,
            tokens=prompt.tokens,
            output_tokens=max(output_tokens, 1),
            priority=priority,
        )
        self._write(request)

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def _write(self, line: msgspec.Struct) -> None:
        self._file.write(msgspec.json.encode(line) + b'\n')
