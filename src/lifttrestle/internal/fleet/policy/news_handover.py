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

"""Decides when a router reports its entries to another aggregator."""

from lifttrestle.internal.fleet.policy.news_pacing import NewsPace


class Handover:
    """Follows the aggregator that knows the entries of this router.

    The former aggregator and those that it sends to know the last report for
    a while. A router therefore sends empty reports to a new one until its
    entries have expired there, so that nothing is counted twice, and until
    the new one has answered. A failed aggregator is chosen again every few
    seconds while the roster lists it; entries that were sent to it would be
    lost and start the wait again.
    """

    def __init__(self) -> None:
        # Aggregator that has the entries, the time of the last report with
        # entries to it, and of its last answer.
        self._key = ''
        self._sent_at = float('-inf')
        self._heard_at = float('-inf')
        self._chosen = ''
        # Whether ``_chosen`` has answered since it was chosen.
        self._answered = False

    def may_send(self, key: str, now: float, pace: NewsPace) -> bool:
        """Return whether the next report to an aggregator may have entries.

        The report is sent at once if it may.

        :param key: the chosen aggregator.
        """
        if key != self._chosen:
            self._chosen = key
            self._answered = False
        if not self._key:
            self._heard_at = now
        elif key == self._key:
            if now - self._heard_at > pace.fresh_seconds:
                return False
        elif not self._answered or self.is_known(now, pace):
            return False
        else:
            self._heard_at = now
        self._key = key
        self._sent_at = now
        return True

    def note_answer(self, now: float) -> None:
        """Record an answer of the chosen aggregator."""
        self._answered = True
        if self._chosen == self._key:
            self._heard_at = now

    def is_known(self, now: float, pace: NewsPace) -> bool:
        """Return whether received news may include the last entries."""
        return now - self._sent_at < pace.handover_seconds
