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

"""What makes a request the same when it comes again.

A caller that repeats a request does so with another request id, over another
connection, at another router, perhaps with another key of its workspace and
after some events of its stream. What stays is who asks and what for.
"""

import hashlib

from lifttrestle.internal.fleet.policy.admission import AdmittedRequest
from lifttrestle.internal.http.head import RequestHead

# Two of a million requests that are remembered at the same time have the same
# digest in one of 37 million fleets.
DIGEST_BYTES = 8
# Stands in none of the fields: no two requests come to the same bytes.
SEPARATOR = b'\0'


def build_request_digest(
    admitted: AdmittedRequest, host: str, head: RequestHead, body: bytes
) -> int:
    """Return a number that stands for a request, whoever of the fleet has it.

    The body itself never leaves the router that has it. The digest has no
    secret key: that would have to be read from the store before the first
    request, and a router that starts while the store is away would know
    nothing of what the others know.
    """
    workspace = admitted.workspace
    named = (
        workspace.name if workspace is not None else '',
        host,
        head.method,
        head.target,
    )
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in named:
        digest.update(text.encode())
        digest.update(SEPARATOR)
    digest.update(body)
    return int.from_bytes(digest.digest(), 'big')
