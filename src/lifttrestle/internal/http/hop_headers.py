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

"""Headers that concern one connection only and are never passed on."""

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
TIMEOUT = 'timeout='


def drop_hop_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers without those of the connection.

    Among these are the ones that a ``Connection`` header names. The length
    of a body is set anew by whoever sends it.
    """
    dropped = set(HOP_HEADERS)
    for name, value in headers:
        if name == 'connection':
            dropped.update(item.strip().lower() for item in value.split(','))
    # A caller can't have the headers dropped that make its request whole.
    dropped.discard('host')
    return tuple(item for item in headers if item[0] not in dropped)


def parse_keep_alive(value: str) -> float | None:
    """Return the seconds for which a ``Keep-Alive`` header allows rest."""
    for item in value.split(','):
        text = item.strip().lower()
        seconds = text[len(TIMEOUT) :]
        if text.startswith(TIMEOUT) and seconds.isdecimal():
            return float(seconds)
    return None
