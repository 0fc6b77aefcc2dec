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

"""Items of the configuration: workspaces, models and services."""

import datetime
import enum

import msgspec


class Item(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of the named items of the configuration."""

    name: str


class RunOnceRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Selects requests to a service that must not be retried.

    :ivar path_prefix: prefix of the paths, relative to the service.
    :ivar methods: the HTTP methods.
    """

    service: str
    path_prefix: str = '/'
    methods: tuple[str, ...] = ('POST',)


class Embargo(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Refuses requests to paths of a service until a release time."""

    service: str
    path_prefix: str
    release: datetime.datetime


class Workspace(Item, frozen=True, forbid_unknown_fields=True):
    """A customer with its data centres, permissions and limits.

    :ivar data_centres: the only data centres that may serve it and hold its
        prompts, cached context and answers.
    :ivar token_digests: SHA-256 digests of its tokens, in hexadecimal.
    :ivar models: names of the models that it may use.
    :ivar services: names of the services that it may use.
    :ivar priority: 0 is the highest, 9 the lowest.
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
    """A model with the version of its weights and its upstreams.

    :ivar version: the version of the weights that must answer.
    :ivar group: the group of upstreams that serve it.
    """

    version: str
    group: str


class Service(Item, frozen=True, forbid_unknown_fields=True):
    """A plain HTTP service, with the path prefix ``/NAME/``.

    :ivar group: the group of upstreams that serve it.
    """

    group: str


class ItemKind(enum.Enum):
    """Kinds of items; the values occur in plans and table keys."""

    WORKSPACE = 'workspace'
    MODEL = 'model'
    SERVICE = 'service'


ITEM_MODELS: dict[ItemKind, type[Item]] = {
    ItemKind.WORKSPACE: Workspace,
    ItemKind.MODEL: Model,
    ItemKind.SERVICE: Service,
}
