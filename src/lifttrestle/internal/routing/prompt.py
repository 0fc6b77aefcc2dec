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

"""Prompts as digests and lengths of their prefixes."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PrefixLevel:
    """A prefix of a prompt.

    :ivar digest: hash of the workspace, the version of the weights and the
        text up to the end of this level.
    :ivar tokens: estimated length of the prefix in tokens.
    """

    digest: bytes
    tokens: int


@dataclasses.dataclass(frozen=True)
class Prompt:
    """The nested prefixes of a prompt.

    :ivar levels: prefixes, the outermost (shortest) first.
    :ivar tokens: estimated length of the whole prompt in tokens.
    """

    levels: tuple[PrefixLevel, ...]
    tokens: int
