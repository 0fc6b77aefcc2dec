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

"""Format of the rows that routers keep of themselves."""

import msgspec

from lifttrestle.internal.http.address import parse_address
from lifttrestle.internal.intake.decoding import decode_json
from lifttrestle.internal.intake.refusals import InputRefusals


class RouterRow(msgspec.Struct, frozen=True):
    """One router's row.

    :ivar address: where it receives load reports; may be empty.
    :ivar tunnel_address: where it accepts tunnels; may be empty.
    """

    data_centre: str
    address: str = ''
    tunnel_address: str = ''


def decode_router_row(
    key: str, value: bytes, refusals: InputRefusals
) -> RouterRow:
    """Return a decoded row, an empty one if it is invalid.

    The router of an invalid row is counted, but is sent no messages.
    """
    try:
        row = decode_json(value, RouterRow)
        for address in (row.address, row.tunnel_address):
            if address:
                parse_address(address)
    except ValueError as error:
        refusals.report('routers', key, error)
        return RouterRow('')
    return row
