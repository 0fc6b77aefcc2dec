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

"""Decides which connection gives its place to a newcomer."""

from collections.abc import Iterable
import dataclasses
import enum
from typing import Generic
from typing import TypeVar

T = TypeVar('T')


class Occupation(enum.IntEnum):
    """What a connection is there for; the first give way first."""

    NO_REQUEST = 0
    CLOSING = 1
    IDLE = 2
    STALLED = 3
    RECEIVING = 4
    AT_WORK = 5


@dataclasses.dataclass(frozen=True)
class Place(Generic[T]):
    """The place of one connection.

    :ivar holder: who holds it.
    :ivar since: since when it has been so, in monotonic seconds.
    :ivar is_owed_answer: whether something of a request was received.
    """

    holder: T
    occupation: Occupation
    since: float
    is_owed_answer: bool = False


def choose_place(places: Iterable[Place[T]]) -> Place[T] | None:
    """Return the place that a newcomer may have, if there is any.

    Callers that have sent no request, or not even a complete head, come first,
    then those that have their last answer, those that are between two
    requests, and those whose body is incomplete, first if it makes no headway;
    among them the one that has been so for the longest time. A caller whose
    request runs keeps its place.
    """
    free = [place for place in places if place.occupation < Occupation.AT_WORK]
    return min(
        free, key=lambda place: (place.occupation, place.since), default=None
    )


def get_most_leaving(max_connections: int) -> int:
    """Return how many connections may be kept beside those that have a place.

    They are told to come back, or get the rest of an answer. More of them are
    reset at once.
    """
    return max(max_connections // 8, 4)
