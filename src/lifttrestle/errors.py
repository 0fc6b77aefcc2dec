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

"""The closed family of exceptions that lifttrestle raises.

Every message quotes the offending value and says what to do about it.
"""

from lifttrestle.internal.intake.fault import InputFault
from lifttrestle.internal.refusal.execution import Execution
from lifttrestle.internal.refusal.kind import ErrorKind


class LifttrestleError(Exception):
    """The base of every exception that this package raises on purpose."""


class RequestRefused(LifttrestleError):
    """A request ends with an error answer.

    :param kind: the kind of error, from the closed list.
    :param message: one sentence that quotes the offending value.
    :param field: the name of the offending field, or an empty string.
    :param ran: whether the request ran, as far as the router knows.
    :param retry_after: seconds after which to come back, or zero.
    :param details: further fields for the error body.
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        field: str = '',
        ran: Execution = Execution.NOT_RUN,
        retry_after: float = 0.0,
        details: dict[str, object] | None = None,
    ) -> None:
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.field = field
        self.ran = ran
        self.retry_after = retry_after
        self.details = details or {}


class SettingsInvalid(LifttrestleError):
    """A settings file has faults; the message lists every one of them."""


class InputRefused(LifttrestleError, ValueError):
    """Data of another writer can't be used.

    :param fault: why, from the closed list.
    :param message: one sentence that quotes what is wrong.
    """

    def __init__(self, fault: InputFault, message: str) -> None:
        super().__init__(message)
        self.fault = fault


class PlatformUnavailable(LifttrestleError):
    """The table service, object store or VM list gave no usable answer.

    The call may have taken effect all the same.
    """


class HistoryGone(LifttrestleError):
    """The store dropped the changes that were asked for; read all again."""


class ConditionFailed(LifttrestleError):
    """A transaction was refused because rows were not as it required.

    :param keys: the keys whose conditions did not hold.
    """

    def __init__(self, keys: tuple[str, ...]) -> None:
        super().__init__(
            f'the rows {list(keys)!r} have changed; read them and try again'
        )
        self.keys = keys


class UpstreamConnectFailed(LifttrestleError):
    """No connection to the upstream could be made, so nothing was sent.

    :param refused: nothing listens at its address.
    """

    def __init__(self, message: str, *, refused: bool = False) -> None:
        super().__init__(message)
        self.refused = refused


class UpstreamLost(LifttrestleError):
    """The exchange with an upstream broke off after sending had begun."""


class UpstreamBrokeOff(UpstreamLost):
    """The connection ended before the upstream's answer did."""


class UpstreamDeclined(LifttrestleError):
    """The upstream refused a request unread, so it did not run there."""


class UpstreamFailed(LifttrestleError):
    """The upstream answered with an error of its own."""


class WrongAnswer(LifttrestleError):
    """An answer is for another request or from other weights."""


class CutByStop(LifttrestleError):
    """A planned stop ended a request that it could not wait for."""


class CallerGone(LifttrestleError):
    """The caller closed its connection or stopped reading."""
