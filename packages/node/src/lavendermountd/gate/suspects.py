"""Requests that were in flight when a target died.

:units: seconds on the node's monotonic clock.

A request suspected once runs alone; suspected of two targets' deaths it is
refused everywhere until the suspicion expires. One that completes is cleared,
and so is every other that looks the same: many callers may send the same
request, and one that others have had answered does not crash its targets.
"""

from __future__ import annotations

import hashlib
import time
from enum import IntEnum

from lavendermount_core.structure.calls import CallRequest
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.peer.frames import Suspected

EXPIRY_S = 300.0
MAX_VICTIMS = 2
MAX_SUSPECTS = 10000
FINGERPRINT_LENGTH = 16
KEY_HEADER = 'idempotency-key'


class Verdict(IntEnum):
    """How a request may run."""

    FREE = 0
    ALONE = 1
    REFUSED = 2


class Suspect:
    """One suspected request.

    :param victims: targets that died with it, as ``node:start``.
    :param expires_at: when the suspicion ends.
    """

    __slots__ = ('victims', 'expires_at')

    def __init__(self, victims: set[str], expires_at: float) -> None:
        """Keep the fields as given."""
        self.victims = victims
        self.expires_at = expires_at


class SuspectTable:
    """Suspected requests by fingerprint, merged with what others saw."""

    __slots__ = ('suspects', 'completed_at', 'max_victims', 'is_isolating')

    def __init__(self) -> None:
        """Start with no suspicion."""
        self.suspects: dict[str, Suspect] = {}
        self.completed_at: dict[str, float] = {}
        self.max_victims = MAX_VICTIMS
        self.is_isolating = True

    def configure(self, max_victims: int, is_isolating: bool) -> None:
        """Take over the rules of a preset.

        :param max_victims: targets that may die before a request is refused.
        :param is_isolating: whether a suspect runs alone.
        """
        self.max_victims = max_victims
        self.is_isolating = is_isolating

    def verdict(self, fingerprint: str) -> Verdict:
        """Decide how a request may run.

        :param fingerprint: its digest.
        """
        suspect = self.find(fingerprint)
        if suspect is None:
            return Verdict.FREE
        if len(suspect.victims) >= self.max_victims:
            return Verdict.REFUSED
        return Verdict.ALONE if self.is_isolating else Verdict.FREE

    def find(self, fingerprint: str) -> Suspect | None:
        """Find an unexpired suspicion."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None or suspect.expires_at > time.monotonic():
            return suspect
        self.suspects.pop(fingerprint)
        return None

    def remaining_s(self, fingerprint: str) -> float:
        """Time until a suspicion expires."""
        suspect = self.find(fingerprint)
        return suspect.expires_at - time.monotonic() if suspect else 0

    def blame(self, fingerprint: str, victim: str) -> Suspected | None:
        """Note that a target died while a request was in flight.

        :param victim: the target, as ``node:start``.
        :returns: the frame that tells other nodes; ``None`` if the request is
            known to be harmless.
        """
        frame = Suspected(fingerprint, [victim], int(EXPIRY_S * MS_PER_S))
        self.merge(frame)
        return self.describe(fingerprint) if fingerprint in self.suspects else None

    def merge(self, frame: Suspected) -> bool:
        """Take over what another node saw.

        :returns: whether it was news.
        """
        if self.has_completed(frame.fingerprint):
            return False
        expires_at = time.monotonic() + min(frame.remaining_ms / MS_PER_S, EXPIRY_S)
        suspect = self.find(frame.fingerprint)
        if suspect is None:
            self.evict_if_full()
            suspect = Suspect(set(), expires_at)
            self.suspects[frame.fingerprint] = suspect
        known_count = len(suspect.victims)
        suspect.victims.update(frame.victims)
        return len(suspect.victims) > known_count

    def evict_if_full(self) -> None:
        """Forget the oldest suspicion when there are too many."""
        if len(self.suspects) >= MAX_SUSPECTS:
            self.suspects.pop(next(iter(self.suspects)))

    def clear(self, fingerprint: str) -> None:
        """Forget a suspicion: the request completed."""
        self.suspects.pop(fingerprint, None)
        self.completed_at.pop(fingerprint, None)
        self.completed_at[fingerprint] = time.monotonic()
        if len(self.completed_at) > MAX_SUSPECTS:
            self.completed_at.pop(next(iter(self.completed_at)))

    def has_completed(self, fingerprint: str) -> bool:
        """Whether a request that looks the same has completed of late."""
        completed_at = self.completed_at.get(fingerprint)
        return completed_at is not None and time.monotonic() - completed_at < EXPIRY_S

    def describe(self, fingerprint: str) -> Suspected:
        """Build the frame that tells other nodes of a suspicion."""
        suspect = self.suspects[fingerprint]
        remaining_ms = int((suspect.expires_at - time.monotonic()) * MS_PER_S)
        return Suspected(fingerprint, sorted(suspect.victims), remaining_ms)

    def describe_all(self) -> list[Suspected]:
        """Build the frames for every unexpired suspicion."""
        return [
            self.describe(fingerprint)
            for fingerprint in list(self.suspects)
            if self.find(fingerprint) is not None
        ]


def fingerprint_of(request: CallRequest) -> str:
    """Digest what makes a request the same when it is sent again.

    :returns: digest of the idempotency key, or of method, path and body.
    """
    digest = hashlib.sha256(request.call_class.service.encode())
    digest.update(request.call_class.tenant.encode())
    key = next(
        (text for name, text in request.headers if name.lower() == KEY_HEADER),
        '',
    )
    if key:
        digest.update(key.encode())
        return digest.hexdigest()[:FINGERPRINT_LENGTH]
    digest.update(request.method.encode())
    digest.update(request.path.encode())
    digest.update(request.body)
    return digest.hexdigest()[:FINGERPRINT_LENGTH]
