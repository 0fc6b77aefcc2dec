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

"""The fault switches of a stand-in, set over HTTP by tests and the demo."""

import msgspec


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """What a stand-in does wrong, until it is told otherwise.

    :ivar refuse: answer 503 without effect, for this many calls.
    :ivar refuse_one_in: refuse every n-th call; 0 for none.
    :ivar drop_answers: do the work, then cut the connection, this often.
    :ivar delay_seconds: wait so long before the work.
    :ivar cut_at_token: cut a stream before the token of this index.
    :ivar cut_streams: how many streams ``cut_at_token`` may still cut.
    :ivar duplicate_token: send the token of this index twice.
    :ivar skip_token: leave out the token of this index.
    :ivar end_at_token: end a stream, as if whole, before this index.
    :ivar truncate_answers: cut this many whole answers short.
    :ivar halve_answers: send half of this many answers, as if whole.
    :ivar stall_at_token: stop sending, silently, at this index.
    :ivar wrong_request_ids: echo a foreign request id, this often.
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
