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

"""The configuration that operators change: workspaces, models, services."""

import datetime
import enum

import msgspec


class Item(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The base of everything that has a name in the configuration."""

    name: str


class RunOnceRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests of a service that may never be repeated.

    :ivar path_prefix: the rule covers paths below the service that begin
        with it.
    """

    service: str
    path_prefix: str = '/'
    methods: tuple[str, ...] = ('POST',)


class Embargo(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Paths of a service that stay closed until their release time."""

    service: str
    path_prefix: str
    release: datetime.datetime


class Workspace(Item, frozen=True, forbid_unknown_fields=True):
    """A customer's place, rights and limits.

    :ivar data_centres: where its prompts, cached context and answers may
        be; nothing of it is served anywhere else.
    :ivar token_digests: SHA-256 digests in hexadecimal of its tokens.
    :ivar priority: 0 goes first, 9 last.
    :ivar requests_per_second: over all routers of one data centre.
    """

    data_centres: tuple[str, ...]
    token_digests: tuple[str, ...]
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    run_once: tuple[RunOnceRule, ...] = ()
    embargoes: tuple[Embargo, ...] = ()
    priority: int = 5
    requests_per_second: float = 100.0
    concurrent_requests: int = 200


class Model(Item, frozen=True, forbid_unknown_fields=True):
    """A model that callers name, the weights in force and its replicas.

    :ivar version: the version of the weights that must answer.
    :ivar group: the group of upstreams that holds it.
    """

    version: str
    group: str


class Service(Item, frozen=True, forbid_unknown_fields=True):
    """A plain service, reached below ``/NAME/``."""

    group: str


class ItemKind(enum.Enum):
    """The kinds of items, as they stand in plans and table keys."""

    WORKSPACE = 'workspace'
    MODEL = 'model'
    SERVICE = 'service'


ITEM_MODELS: dict[ItemKind, type[Item]] = {
    ItemKind.WORKSPACE: Workspace,
    ItemKind.MODEL: Model,
    ItemKind.SERVICE: Service,
}
