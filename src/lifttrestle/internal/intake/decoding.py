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

"""Decodes data that other processes have written into typed messages.

Invalid data always raises ``InputRefused``. The errors of the decoders differ
by format, and deep nesting raises ``RecursionError``, which the readers of
tables don't handle.
"""

from collections.abc import Callable
from typing import TypeVar

import msgspec

from lifttrestle.errors import InputRefused
from lifttrestle.internal.intake.fault import InputFault

T = TypeVar('T')


def decode_json(
    data: bytes, model: type[T], max_bytes: int | None = None
) -> T:
    """Return the message that is encoded as JSON.

    :param model: type of the message.
    :param max_bytes: longer data is refused without being decoded.
    :raises InputRefused: if the data is not a valid message of this type.
    """
    if max_bytes is not None and len(data) > max_bytes:
        raise InputRefused(
            InputFault.TOO_LONG,
            f'{len(data)} bytes exceed the limit of {max_bytes} bytes',
        )
    return _decode(lambda: msgspec.json.decode(data, type=model))


def decode_msgpack(data: bytes, model: type[T]) -> T:
    """Return the message that is encoded as MessagePack.

    :param model: type of the message.
    :raises InputRefused: if the data is not a valid message of this type.
    """
    return _decode(lambda: msgspec.msgpack.decode(data, type=model))


def _decode(decode: Callable[[], T]) -> T:
    try:
        return decode()
    except msgspec.ValidationError as error:
        raise InputRefused(InputFault.FIELD, str(error)) from error
    except RecursionError as error:
        raise InputRefused(InputFault.TOO_DEEP, str(error)) from error
    except ValueError as error:
        raise InputRefused(InputFault.MALFORMED, str(error)) from error
