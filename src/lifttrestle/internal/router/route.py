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

"""Maps the path of a request to the API or service that it addresses."""

import dataclasses
import enum


class RouteKind(enum.Enum):
    """The API that a path addresses."""

    CHAT = 'chat'
    COMPLETIONS = 'completions'
    MODELS = 'models'
    READY = 'ready'
    SERVICE = 'service'


@dataclasses.dataclass(frozen=True)
class Route:
    """A parsed path.

    :ivar methods: the allowed methods; empty if all are.
    :ivar service: the plain service's name, for ``SERVICE`` only.
    :ivar rest: the path below the service, beginning with a slash.
    """

    kind: RouteKind
    methods: tuple[str, ...] = ()
    service: str = ''
    rest: str = ''


FIXED_ROUTES: dict[str, Route] = {
    '/v1/chat/completions': Route(RouteKind.CHAT, ('POST',)),
    '/v1/completions': Route(RouteKind.COMPLETIONS, ('POST',)),
    '/v1/models': Route(RouteKind.MODELS, ('GET',)),
    '/ready': Route(RouteKind.READY, ('GET', 'HEAD')),
}


def find_route(path: str) -> Route:
    """Return the route of a path, without a check that its service exists."""
    fixed = FIXED_ROUTES.get(path)
    if fixed is not None:
        return fixed
    name, slash, rest = path.removeprefix('/').partition('/')
    return Route(RouteKind.SERVICE, (), name, slash + rest)
