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

"""All exceptions that lifttrestle defines.

Every message quotes the invalid value and says how to correct it.
"""

from lifttrestle.internal.intake.fault import InputFault
from lifttrestle.internal.refusal.execution import Execution
from lifttrestle.internal.refusal.kind import ErrorKind


class LifttrestleError(Exception):
    """Base class of the exceptions that this package defines."""


class RequestRefused(LifttrestleError):
    """A request ends with an error answer.

    :param kind: the kind of error.
    :param message: one sentence that quotes the invalid value.
    :param field: the name of the invalid field, or an empty string.
    :param ran: whether the request ran, as far as the router knows.
    :param retry_after: seconds after which to retry, or zero.
    :param details: additional fields of the error body.
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
    """A settings file has faults; the message lists all of them."""


class InputRefused(LifttrestleError, ValueError):
    """Data that another process has written is invalid.

    :param fault: the reason, which is a label of a metric.
    :param message: one sentence that quotes the invalid value.
    """

    def __init__(self, fault: InputFault, message: str) -> None:
        super().__init__(message)
        self.fault = fault


class PlatformUnavailable(LifttrestleError):
    """The table service, object store or VM list gave no valid answer.

    The call may have taken effect nevertheless.
    """


class HistoryGone(LifttrestleError):
    """The store no longer holds the requested changes.

    The whole table has to be read again.
    """


class ConditionFailed(LifttrestleError):
    """A transaction was refused because its conditions were not met.

    :param keys: keys of the rows whose conditions were not met.
    """

    def __init__(self, keys: tuple[str, ...]) -> None:
        super().__init__(
            f'the rows {list(keys)!r} have changed; read them and try again'
        )
        self.keys = keys


class UpstreamConnectFailed(LifttrestleError):
    """Connecting to the upstream failed, so nothing was sent.

    :param refused: whether the connection was refused, since no process
        listens at the address.
    """

    def __init__(self, message: str, *, refused: bool = False) -> None:
        super().__init__(message)
        self.refused = refused


class UpstreamLost(LifttrestleError):
    """The exchange with an upstream failed after sending had started."""


class UpstreamBrokeOff(UpstreamLost):
    """The connection closed before the upstream's answer was complete."""


class UpstreamPathLost(UpstreamLost):
    """The path to the upstream was lost; nothing is known of the upstream."""


class PathLost(OSError):
    """A router that forwards a connection closed it or can't be reached."""


class UpstreamDeclined(LifttrestleError):
    """The upstream refused the request without running it.

    :param is_full: whether it did so for want of room, as far as is known.
    """

    def __init__(self, message: str, *, is_full: bool = False) -> None:
        super().__init__(message)
        self.is_full = is_full


class UpstreamUnavailable(LifttrestleError):
    """The upstream takes no requests any more since it was chosen.

    Nothing was sent.
    """


class UpstreamFailed(LifttrestleError):
    """The upstream answered with an error."""


class WrongAnswer(LifttrestleError):
    """An answer is for another request or from other weights."""


class CutByStop(LifttrestleError):
    """The grace period of a planned stop ended before the request."""


class CallerGone(LifttrestleError):
    """The caller closed its connection or stopped reading."""
