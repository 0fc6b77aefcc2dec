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

"""Checks of the head of a request that need no more than the head."""

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.refusal.kind import ErrorKind


def check_head(head: RequestHead, limits: HttpLimits) -> None:
    """Check the size of a head, its target and the lengths that it names.

    :raises RequestRefused: if one of them is not acceptable; the connection
        can't be reused, as the body is not read.
    """
    _check_size(head, limits.head_bytes)
    _check_target(head)
    _check_lengths(head, limits.body_bytes)


def make_body_refusal(size: int, limit: int) -> RequestRefused:
    """Return the refusal of a body of at least ``size`` bytes."""
    return RequestRefused(
        ErrorKind.BODY_TOO_LARGE,
        f'the body of {size} bytes or more is over the limit of {limit} bytes',
        field='body',
    )


def _check_size(head: RequestHead, limit: int) -> None:
    # h11 limits only the bytes that it buffers of an incomplete head; a head
    # that arrives in a single read is not checked.
    size = len(head.target) + sum(
        len(name) + len(value) for name, value in head.headers
    )
    if size > limit:
        raise RequestRefused(
            ErrorKind.HEAD_TOO_LARGE,
            f'the head of {size} bytes is over the limit of {limit} bytes',
        )


def _check_target(head: RequestHead) -> None:
    try:
        head.path
    except ValueError as error:
        raise RequestRefused(
            ErrorKind.MALFORMED_REQUEST,
            f'the target {head.target!r} is not a path: {error}',
            field='target',
        ) from None


def _check_lengths(head: RequestHead, limit: int) -> None:
    length = head.get_header('content-length')
    if length and head.get_header('transfer-encoding'):
        raise RequestRefused(
            ErrorKind.MALFORMED_REQUEST,
            f'the request has both Content-Length {length!r} and'
            ' Transfer-Encoding; send one of them',
            field='content-length',
        )
    if length and int(length) > limit:
        raise make_body_refusal(int(length), limit)
