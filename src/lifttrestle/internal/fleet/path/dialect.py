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

"""How requests and answers are read and written, behind an interface.

The exchange asks a dialect what a request says and what an answer proves, and
decides by that alone.
"""

import abc
import dataclasses

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.fleet.policy.limit_belief import NamedLimit
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.answer import Header
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.head import ResponseHead


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Generation:
    """What a request says of the text that it wants generated.

    :ivar parts: the prompt's parts in order; the last is its own.
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may share."""
        return self.parts[:-1]

    @property
    def all_tokens(self) -> int:
        """Return the tokens of the prompt and the most that may be made."""
        return max(self.prompt_tokens, 0) + max(self.output_tokens, 0)

    @property
    def own_tokens(self) -> int:
        """Return the tokens that no other request shares."""
        return self.prompt_tokens - sum(part.tokens for part in self.shared)


@dataclasses.dataclass(frozen=True)
class RequestFacts:
    """What the head of a request says.

    :ivar key: the caller's key, or None.
    :ivar wait_seconds: how long the caller waits, or None if not told.
    :ivar last_event: the last event that the caller holds already, or None.
    """

    request_id: str
    host: str
    path: str
    key: str | None
    wait_seconds: float | None
    generation: Generation | None
    last_event: int | None


@dataclasses.dataclass(frozen=True)
class CacheUse:
    """Under which salt cached context is shared, and where it is kept.

    :ivar source: address to read missing parts from, or an empty string.
    :ivar target: address to write the parts to, or an empty string.
    """

    salt: str
    source: str
    target: str


@dataclasses.dataclass(frozen=True)
class UpstreamOrder:
    """What the router asks of one upstream beside the caller's request.

    :ivar instance: the only start of an upstream that may run it.
    :ivar wait_seconds: after which the upstream is to stop.
    :ivar workspace: the caller's, or an empty string.
    :ivar weights: the only version of the weights that may be used.
    :ivar urgency: 0 is first, None for the upstream's default.
    :ivar last_event: after which event the stream is to go on, or None.
    """

    instance: str
    wait_seconds: float
    workspace: str = ''
    hide_key: bool = False
    weights: int | None = None
    cache: CacheUse | None = None
    urgency: int | None = None
    last_event: int | None = None


@dataclasses.dataclass(frozen=True)
class AnswerFacts:
    """What the head of an upstream's answer proves.

    :ivar proved: it bears the mark of the upstream that made it.
    :ivar request_id: the request that it answers.
    :ivar not_run: the upstream says that it did not run the request.
    :ivar other_instance: another upstream, or other weights, are at that
        address; it did not run the request.
    :ivar instance: the start of an upstream that answered, or an empty string
        where the answer does not name it.
    :ivar encoded: its body is not what the upstream made.
    :ivar weights: version of the weights in use, or None.
    :ivar leaving: the connection ends with this answer.
    :ivar idle_seconds: how long the connection may rest, or None.
    :ivar limit: what it says of the rate that its upstream takes.
    """

    status: int
    verified: bool
    request_id: str
    not_run: bool
    other_instance: bool
    instance: str
    encoded: bool
    weights: int | None
    idle_seconds: float | None
    limit: NamedLimit


class RequestDialect(abc.ABC):
    """Reads callers' requests and upstreams' answers."""

    @abc.abstractmethod
    def read_request(self, head: RequestHead) -> RequestFacts:
        """Return what a request's head says.

        :raises RequestRefused: if a header can't be read.
        """

    @abc.abstractmethod
    def build_head(
        self, head: RequestHead, order: UpstreamOrder
    ) -> RequestHead:
        """Return the head to send to an upstream."""

    @abc.abstractmethod
    def read_answer(self, head: ResponseHead) -> AnswerFacts:
        """Return what an answer's head proves."""

    @abc.abstractmethod
    def select_answer_headers(self, head: ResponseHead) -> tuple[Header, ...]:
        """Return the headers of an answer that the caller is shown."""

    @abc.abstractmethod
    def build_refusal(
        self, refused: RequestRefused, request_id: str
    ) -> Answer:
        """Return the answer for a refused request."""
