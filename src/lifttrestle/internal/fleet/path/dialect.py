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

"""Interface for parsing and building the heads of requests and answers.

All decisions of an exchange are based on what its dialect extracts from the
heads of requests and answers.
"""

import abc
import dataclasses

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.fleet.policy.known_limit import ReportedLimit
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
    """What a request specifies about the text to generate.

    :ivar parts: the prompt's parts in order; the last one is not shared with
        other requests.
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
        """Return the prompt tokens plus the most that may be generated."""
        return max(self.prompt_tokens, 0) + max(self.output_tokens, 0)

    @property
    def own_tokens(self) -> int:
        """Return the prompt tokens that no other request shares."""
        return self.prompt_tokens - sum(part.tokens for part in self.shared)


@dataclasses.dataclass(frozen=True)
class RequestFacts:
    """What the head of a request specifies.

    :ivar key: the caller's API key, or None.
    :ivar wait_seconds: how long the caller waits, or None if not specified.
    :ivar last_event_id: last event that the caller has received, or None.
    :ivar resumes: id of the request that brought the first event of the stream
        that the caller resumes, or an empty string.
    """

    request_id: str
    host: str
    path: str
    key: str | None
    wait_seconds: float | None
    generation: Generation | None
    last_event_id: int | None
    resumes: str = ''


@dataclasses.dataclass(frozen=True)
class CacheUse:
    """Which cached prompt parts an engine may use, and where they are stored.

    :ivar salt: only requests with the same salt share cached parts.
    :ivar source: address to read missing parts from, or an empty string.
    :ivar target: address to write the parts to, or an empty string.
    """

    salt: str
    source: str
    target: str


@dataclasses.dataclass(frozen=True)
class AttemptOptions:
    """What the router adds to a request that it sends to an upstream.

    :ivar instance: the only start of an upstream that may run the request.
    :ivar wait_seconds: time limit after which the upstream must stop.
    :ivar workspace: the caller's workspace, or an empty string.
    :ivar hide_key: whether the caller's API key is removed.
    :ivar weights: the only version of the weights that may be used.
    :ivar urgency: 0 is the most urgent, None for the upstream's default.
    :ivar last_event_id: event after which the stream resumes, or None.
    """

    instance: str
    wait_seconds: float
    workspace: str = ''
    hide_key: bool = False
    weights: int | None = None
    cache: CacheUse | None = None
    urgency: int | None = None
    last_event_id: int | None = None


@dataclasses.dataclass(frozen=True)
class AnswerFacts:
    """What the head of an upstream's answer states.

    :ivar verified: it bears the stamp of the upstream that made it.
    :ivar request_id: the request that it answers.
    :ivar not_run: the upstream states that it did not run the request.
    :ivar other_instance: another instance answered, or one with other
        weights; the request did not run.
    :ivar instance: the start of an upstream that answered, or an empty string
        if the answer does not name it.
    :ivar encoded: the body was changed by a content coding.
    :ivar weights: version of the weights in use, or None.
    :ivar idle_seconds: how long the connection may be idle, or None.
    :ivar limit: the rate limit that the upstream announces.
    :ivar max_rejections: how many rejections a second it announces to
        tolerate from all routers together, or None.
    :ivar leaving: the upstream announces that it leaves.
    :ivar pause_seconds: how long it asks to be sent nothing after this
        answer, or None.
    :ivar invalid_pause: what it names in place of a time, or an empty string.
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
    limit: ReportedLimit
    max_rejections: float | None = None
    leaving: bool = False
    pause_seconds: float | None = None
    invalid_pause: str = ''


class RequestDialect(abc.ABC):
    """Parses and builds the heads of requests and answers."""

    @abc.abstractmethod
    def read_request(self, head: RequestHead) -> RequestFacts:
        """Parse the head of a caller's request.

        :raises RequestRefused: if a header can't be parsed.
        """

    @abc.abstractmethod
    def build_head(
        self, head: RequestHead, options: AttemptOptions
    ) -> RequestHead:
        """Return the head to send to an upstream."""

    @abc.abstractmethod
    def read_answer(self, head: ResponseHead) -> AnswerFacts:
        """Parse the head of an upstream's answer."""

    @abc.abstractmethod
    def select_answer_headers(self, head: ResponseHead) -> tuple[Header, ...]:
        """Return the headers of an answer to forward to the caller."""

    @abc.abstractmethod
    def build_refusal(
        self, refused: RequestRefused, request_id: str
    ) -> Answer:
        """Return the answer to a refused request."""
