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

"""Identifies repeats of a request, and parts of prompts, by digests.

A repeat may have another request id, connection, router, key of the same
workspace or last event id. The digest therefore covers only the workspace and
the content of the request.
"""

import hashlib

from lifttrestle.internal.fleet.crashes.suspects import set_kind
from lifttrestle.internal.fleet.crashes.suspects import SuspectKind
from lifttrestle.internal.fleet.path.dialect import Generation
from lifttrestle.internal.fleet.path.request_context import RequestContext
from lifttrestle.internal.fleet.policy.admission import AdmittedRequest
from lifttrestle.internal.fleet.policy.admission import get_cache_scope
from lifttrestle.internal.fleet.state.digests import compute_digest
from lifttrestle.internal.fleet.state.digests import RECORD_DIGEST_BYTES
from lifttrestle.internal.http.head import RequestHead

# Occurs in none of the fields, so different requests never encode to the same
# bytes.
SEPARATOR = b'\0'


def build_request_digest(
    admitted: AdmittedRequest, host: str, head: RequestHead, body: bytes
) -> int:
    """Return a number that identifies a request at all routers of a fleet.

    Routers exchange only digests, so that bodies never leave the router that
    received them. The digest uses no secret key: the key would have to be read
    from the store before the first request, and a router that starts while the
    store is unavailable could not use what the other routers know.
    """
    fields = (
        admitted.workspace_name,
        host,
        head.method,
        head.target,
    )
    digest = hashlib.blake2b(digest_size=RECORD_DIGEST_BYTES)
    for text in fields:
        digest.update(text.encode())
        digest.update(SEPARATOR)
    digest.update(body)
    number = int.from_bytes(digest.digest(), 'big')
    return set_kind(number, SuspectKind.REQUEST)


def build_part_digests(
    admitted: AdmittedRequest, service: str, generation: Generation | None
) -> tuple[int, ...]:
    """Return numbers that identify the shared parts of a request's prompt.

    A part has the same number in all requests for its model, whoever sends
    them and by whatever route, except that those of an isolated workspace are
    its own. The last part belongs to the request alone and has none.
    """
    if generation is None:
        return ()
    scope = get_cache_scope(admitted)
    digests = []
    kind = SuspectKind.FIRST_PART
    for part in generation.shared:
        fields = (scope, service, generation.model, part.part_id)
        data = b''.join(text.encode() + SEPARATOR for text in fields)
        number = compute_digest(data, RECORD_DIGEST_BYTES)
        digests.append(set_kind(number, kind))
        kind = SuspectKind.PART
    return tuple(digests)


def identify_request(
    request: RequestContext, head: RequestHead, body: bytes
) -> None:
    """Set the digests of an admitted request and of its prompt's parts."""
    facts = request.facts
    request.digest = build_request_digest(
        request.admitted, facts.host, head, body
    )
    request.part_digests = build_part_digests(
        request.admitted, request.service, facts.generation
    )
