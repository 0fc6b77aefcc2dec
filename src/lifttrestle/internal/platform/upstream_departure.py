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

"""Whether an upstream announces in an answer that it leaves."""

from collections.abc import Iterable

from lifttrestle.internal.http.answer import Header
from lifttrestle.internal.platform import names


def read_leaving(headers: Iterable[Header]) -> bool:
    """Return whether the headers of an answer announce it."""
    return any(
        name == names.LEAVING and value.strip() == names.LEAVING_SET
        for name, value in headers
    )
