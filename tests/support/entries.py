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

"""Entries of upstreams in the documented format of the platform."""


def make_entry(**fields: object) -> dict[str, object]:
    """Return an entry of a plain service, updated with ``fields``."""
    return {
        'service': 's',
        'address': '127.0.0.1:9',
        'zone': 'a',
        'version': 'v1',
        'slots': 1,
        'state': 'ready',
        'cold_left_ms': 0,
        'seq_no': 1,
        **fields,
    }
