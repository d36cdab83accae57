"""Chooses the crash suspicions that each gossip round carries.

:shapes: a suspicion is a ``CrashSuspicion`` frame.
"""

from __future__ import annotations

from typing import Final

from lavendermountd.gate.suspects import SuspectTable
from lavendermountd.peer.frames import CrashSuspicion

SUSPICIONS_PER_ROUND: Final = 8
# Places of a round that are kept for requests that are refused. A crash also leaves a
# suspicion of each request that merely ran beside it, and there may be thousands.
REFUSED_PER_ROUND: Final = 4


class SuspicionRotation:
    """Carries the suspicions in turn, those sent longest ago first.

    Of ``n`` refused requests, each is in one of ``n / REFUSED_PER_ROUND`` rounds; the
    same holds for the others with the places that are left.

    :param table: the suspicions.
    """

    __slots__ = ('table', 'order')

    def __init__(self, table: SuspectTable) -> None:
        """Start with nothing sent."""
        self.table = table
        # Fingerprints; those sent longest ago come first.
        self.order: dict[str, None] = {}

    def next_round(self) -> list[CrashSuspicion]:
        """Return the suspicions for one round and count them as sent."""
        known = self.table.unexpired()
        self.order = {entry: None for entry in self.order if entry in known}
        self.order.update(dict.fromkeys(known))
        refused, others = self.table.split_refused(list(self.order))
        count = max(REFUSED_PER_ROUND, SUSPICIONS_PER_ROUND - len(others))
        chosen = refused[:count]
        chosen.extend(others[: SUSPICIONS_PER_ROUND - len(chosen)])
        for sent in chosen:
            self.order.pop(sent)
            self.order[sent] = None
        return list(map(self.table.describe, chosen))

    def describe_most(self, count: int) -> list[CrashSuspicion]:
        """Describe many suspicions for a node that has just started.

        Refused requests come first, then the others, the newest first.

        :param count: most suspicions to describe.
        """
        refused, others = self.table.split_refused(list(self.table.unexpired()))
        chosen = [*refused, *reversed(others)][:count]
        return list(map(self.table.describe, chosen))
