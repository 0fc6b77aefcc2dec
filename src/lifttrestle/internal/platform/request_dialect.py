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

"""Parses and builds heads that carry the platform's headers."""

from collections.abc import Callable
import typing

import msgspec

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.fleet.path.dialect import AnswerFacts
from lifttrestle.internal.fleet.path.dialect import AttemptOptions
from lifttrestle.internal.fleet.path.dialect import Generation
from lifttrestle.internal.fleet.path.dialect import PromptPart
from lifttrestle.internal.fleet.path.dialect import RequestDialect
from lifttrestle.internal.fleet.path.dialect import RequestFacts
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.answer import Header
from lifttrestle.internal.http.head import find_single_header
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.head import ResponseHead
from lifttrestle.internal.http.hop_headers import drop_hop_headers
from lifttrestle.internal.http.hop_headers import parse_keep_alive
from lifttrestle.internal.platform import names
from lifttrestle.internal.platform.upstream_departure import read_leaving
from lifttrestle.internal.platform.upstream_limit import read_limit
from lifttrestle.internal.platform.upstream_pause import read_pause
from lifttrestle.internal.platform.upstream_rejections import read_rejections
from lifttrestle.internal.refusal.answers import ANSWER_RULES
from lifttrestle.internal.refusal.kind import ErrorKind

Number = typing.TypeVar('Number', int, float)
MILLISECONDS = 1000
IDENTITY = 'identity'
# Request ids are known to have 16 characters; a longer value names no request.
MAX_RESUMES_LENGTH = 128


class PlatformDialect(RequestDialect):
    """Parses and builds heads with the platform's headers."""

    def read_request(self, head: RequestHead) -> RequestFacts:
        """Parse the head of a caller's request.

        :raises RequestRefused: if a header can't be parsed.
        """
        host = find_single_header(head, 'host').rpartition(':')
        wait = _read_number(head, names.DEADLINE, float, 'a number')
        return RequestFacts(
            request_id=find_single_header(head, names.REQUEST_ID),
            host=(host[0] if host[2].isdecimal() else ''.join(host)).lower(),
            path=head.path,
            key=_read_key(head),
            wait_seconds=None if wait is None else wait / MILLISECONDS,
            generation=_read_generation(head),
            last_event_id=_read_number(
                head, names.LAST_EVENT, int, 'a whole number'
            ),
            resumes=_read_resumes(head),
        )

    def build_head(
        self, head: RequestHead, options: AttemptOptions
    ) -> RequestHead:
        """Return the head to send to an upstream."""
        headers = [
            (name, value)
            for name, value in drop_hop_headers(head.headers)
            if name not in names.SYSTEM_HEADERS
            and not (options.hide_key and name == names.AUTHORIZATION)
        ]
        wait_ms = max(int(options.wait_seconds * MILLISECONDS), 1)
        headers.append((names.DEADLINE, str(wait_ms)))
        headers.append((names.EXPECT_INSTANCE, options.instance))
        optional: tuple[tuple[str, object], ...] = (
            (names.TENANT, options.workspace or None),
            (names.EXPECT_VERSION, options.weights),
            (names.URGENCY, options.urgency),
            (names.LAST_EVENT, options.last_event_id),
        )
        if options.cache is not None:
            optional += (
                (names.CACHE_SALT, options.cache.salt),
                (names.CACHE_SOURCE, options.cache.source or None),
                (names.CACHE_TARGET, options.cache.target or None),
            )
        headers.extend(
            (name, str(value)) for name, value in optional if value is not None
        )
        return RequestHead(head.method, head.target, tuple(headers))

    def read_answer(self, head: ResponseHead) -> AnswerFacts:
        """Parse the head of an upstream's answer."""
        weights = head.get_header(names.WEIGHTS)
        encoding = head.get_header('content-encoding', IDENTITY)
        pause_seconds, invalid_pause = read_pause(head)
        return AnswerFacts(
            status=head.status,
            verified=bool(head.get_header(names.STAMP)),
            request_id=head.get_header(names.REQUEST_ID),
            not_run=bool(head.get_header(names.NOT_RUN)),
            other_instance=head.status == names.STATUS_OTHER_INSTANCE,
            instance=head.get_header(names.INSTANCE),
            encoded=encoding.lower() != IDENTITY,
            weights=int(weights) if weights.isdecimal() else None,
            idle_seconds=parse_keep_alive(head.get_header('keep-alive')),
            limit=read_limit(head.headers),
            max_rejections=read_rejections(head),
            leaving=read_leaving(head.headers),
            pause_seconds=pause_seconds,
            invalid_pause=invalid_pause,
        )

    def select_answer_headers(self, head: ResponseHead) -> tuple[Header, ...]:
        """Return the headers of an answer to forward to the caller."""
        return drop_hop_headers(head.headers)

    def build_refusal(
        self, refused: RequestRefused, request_id: str
    ) -> Answer:
        """Return the answer to a refused request."""
        rule = ANSWER_RULES[refused.kind]
        headers = [('content-type', 'application/json')]
        if request_id:
            headers.append((names.REQUEST_ID, request_id))
        if refused.retry_after > 0:
            headers.append(('retry-after', f'{refused.retry_after:.3f}'))
        content = {
            'error': refused.kind.value,
            'message': refused.message,
            'ran': refused.ran.value,
            'remedy': rule.remedy,
        }
        return Answer(
            rule.status, tuple(headers), msgspec.json.encode(content)
        )


def _read_key(head: RequestHead) -> str | None:
    value = find_single_header(head, names.AUTHORIZATION)
    if not value.lower().startswith(names.KEY_SCHEME):
        return None
    return value[len(names.KEY_SCHEME) :].strip()


def _read_resumes(head: RequestHead) -> str:
    """Return the request that a caller names, empty if there is none."""
    values = [value for name, value in head.headers if name == names.RESUMES]
    if len(values) != 1 or len(values[0]) > MAX_RESUMES_LENGTH:
        return ''
    return values[0]


def _read_generation(head: RequestHead) -> Generation | None:
    model = find_single_header(head, names.MODEL)
    if not model:
        return None
    counts = find_single_header(head, names.TOKEN_COUNT)
    prompt, _, output = counts.partition(',')
    try:
        return Generation(
            model=model,
            prompt_tokens=int(prompt or 0),
            output_tokens=int(output or 0),
            parts=_read_parts(find_single_header(head, names.PROMPT_PREFIX)),
        )
    except ValueError:
        raise _refuse(names.TOKEN_COUNT, counts, 'TOKENS,TOKENS') from None


def _read_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(','):
        part_id, _, tokens = item.strip().partition(':')
        if part_id:
            parts.append(PromptPart(part_id, int(tokens or 0)))
    return tuple(parts)


def _read_number(
    head: RequestHead,
    name: str,
    parse: Callable[[str], Number],
    expected: str,
) -> Number | None:
    """Return the number in a header, or None if the header is absent.

    :param parse: raises ``ValueError`` if the value is not as expected.
    :param expected: description of a valid value, for the error message.
    """
    text = find_single_header(head, name)
    if not text:
        return None
    try:
        return parse(text)
    except ValueError:
        raise _refuse(name, text, expected) from None


def _refuse(name: str, value: str, expected: str) -> RequestRefused:
    return RequestRefused(
        ErrorKind.INVALID_VALUE,
        f'the header {name} is {value!r}; send {expected}',
        field=name,
    )
