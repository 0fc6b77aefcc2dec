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

"""A prompt as routing sees it: hashes of its prefixes and lengths."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PrefixLevel:
    """One nested prefix.

    :ivar digest: covers the workspace, the weights and all text up to the
        end of this level.
    :ivar tokens: the estimated length in tokens up to there.
    """

    digest: bytes
    tokens: int


@dataclasses.dataclass(frozen=True)
class Prompt:
    """The nested prefixes of a prompt, outermost first.

    :ivar tokens: the estimated length of the whole prompt in tokens.
    """

    levels: tuple[PrefixLevel, ...]
    tokens: int
