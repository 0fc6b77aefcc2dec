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

"""Fault injection for stand-ins, set over HTTP by tests and the demo."""

import msgspec


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """The faults that a stand-in injects until others are set.

    Counts are decremented with each fault injected. A token index of -1
    disables the fault.

    :ivar refuse: number of requests to answer with 503 without executing
        them.
    :ivar refuse_one_in: refuse every n-th request; 0 for none.
    :ivar drop_answers: number of requests to execute and then abort the
        connection instead of sending an answer.
    :ivar delay_seconds: delay before a request is executed.
    :ivar cut_at_token: abort a stream before the token of this index.
    :ivar cut_streams: how many streams ``cut_at_token``, ``end_at_token``
        and ``stall_at_token`` may still affect.
    :ivar duplicate_token: send the token of this index twice.
    :ivar skip_token: omit the token of this index, once.
    :ivar end_at_token: end a stream before this index as if it were complete.
    :ivar truncate_answers: number of answers without streaming to break off
        halfway, below their content length.
    :ivar halve_answers: number of answers of which to send only the first
        half as if it were complete.
    :ivar stall_at_token: stop sending at this index without closing the
        connection.
    :ivar wrong_request_ids: number of answers with another request's ID.
    """

    refuse: int = 0
    refuse_one_in: int = 0
    drop_answers: int = 0
    delay_seconds: float = 0.0
    cut_at_token: int = -1
    cut_streams: int = 1
    duplicate_token: int = -1
    skip_token: int = -1
    end_at_token: int = -1
    truncate_answers: int = 0
    halve_answers: int = 0
    stall_at_token: int = -1
    wrong_request_ids: int = 0
