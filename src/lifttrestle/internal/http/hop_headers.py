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

"""Hop-by-hop headers, which concern one connection and are not forwarded."""

from lifttrestle.internal.http.answer import Header

HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
TIMEOUT_PREFIX = 'timeout='


def drop_hop_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers without the hop-by-hop ones.

    These include the headers that ``Connection`` lists. ``Content-Length`` is
    dropped as well, since the sender of a body sets it.
    """
    dropped = set(HOP_HEADERS)
    for name, value in headers:
        if name == 'connection':
            dropped.update(item.strip().lower() for item in value.split(','))
    # A request is not valid without Host, so Connection can't remove it.
    dropped.discard('host')
    return tuple(item for item in headers if item[0] not in dropped)


def parse_keep_alive(value: str) -> float | None:
    """Return the idle timeout in seconds of a ``Keep-Alive`` header.

    :return: None if the header states none.
    """
    for item in value.split(','):
        text = item.strip().lower()
        seconds = text[len(TIMEOUT_PREFIX) :]
        if text.startswith(TIMEOUT_PREFIX) and seconds.isdecimal():
            return float(seconds)
    return None
