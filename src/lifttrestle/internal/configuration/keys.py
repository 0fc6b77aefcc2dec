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

"""Keys of the configuration's rows in the table service."""

from lifttrestle.internal.configuration.model import ItemKind

HEAD = 'configuration/head'
ITEMS = 'configuration/item/'
MEMBERS = 'membership/members'


def format_item_key(kind: ItemKind, name: str) -> str:
    """Return the key of the row of an item."""
    return f'{ITEMS}{kind.value}/{name}'


def format_change_key(revision: int) -> str:
    """Return the key of the changes that led to a revision."""
    return f'configuration/change/{revision:012d}'


def format_plan_key(plan_id: str) -> str:
    """Return the key of a plan."""
    return f'configuration/plan/{plan_id}'


def format_acknowledgement_prefix(plan_id: str) -> str:
    """Return the key prefix of all acknowledgements of a plan."""
    return f'configuration/acknowledgement/{plan_id}/'


def format_acknowledgement_key(plan_id: str, instance: str) -> str:
    """Return the key of the acknowledgement of one router."""
    return format_acknowledgement_prefix(plan_id) + instance
