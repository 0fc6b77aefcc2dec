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

"""Heads of HTTP requests and answers: start line and headers."""

import dataclasses
import urllib.parse

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.http.answer import Header
from lifttrestle.internal.refusal.kind import ErrorKind


@dataclasses.dataclass(frozen=True)
class RequestHead:
    """Request line and headers; header names are in lower case."""

    method: str
    target: str
    headers: tuple[Header, ...] = ()

    @property
    def path(self) -> str:
        """Return the path without its query.

        :raises ValueError: if the target is neither a path nor a URL.
        """
        return urllib.parse.urlsplit(self.target).path

    @property
    def query(self) -> str:
        """Return the query without its question mark."""
        return urllib.parse.urlsplit(self.target).query

    def get_header(self, name: str, default: str = '') -> str:
        """Return the first header of that lower-case name."""
        return get_header(self.headers, name, default)


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status line and headers; header names are in lower case."""

    status: int
    headers: tuple[Header, ...] = ()

    def get_header(self, name: str, default: str = '') -> str:
        """Return the first header of that lower-case name."""
        return get_header(self.headers, name, default)


def get_header(
    headers: tuple[Header, ...], name: str, default: str = ''
) -> str:
    """Return the value of the first header with that lower-case name."""
    for key, value in headers:
        if key == name:
            return value
    return default


def find_single_header(head: RequestHead, name: str) -> str:
    """Return the value of a header that may occur only once.

    :return: empty if the header is absent.
    :raises RequestRefused: if it occurs with different values. Recipients
        could pick different ones and so disagree on what was requested.
    """
    values = {value for key, value in head.headers if key == name}
    if len(values) > 1:
        raise RequestRefused(
            ErrorKind.MALFORMED_REQUEST,
            f'the header {name} has {len(values)} values; send it once',
            field=name,
        )
    return values.pop() if values else ''


def decode_headers(raw: object) -> tuple[Header, ...]:
    """Convert the headers of an h11 event to pairs of strings."""
    return tuple(
        (name.decode('ascii').lower(), value.decode('latin-1'))
        for name, value in raw  # type: ignore[attr-defined]
    )
