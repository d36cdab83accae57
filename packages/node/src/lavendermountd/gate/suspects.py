"""Requests suspected of crashing targets, because they ran when one died.

:units: seconds on the node's monotonic clock.

When a target dies, the requests that it was running are suspected. Unless the preset
turns isolation off, a suspected request runs alone on its target. Once ``max_victims``
targets have died, every node refuses it until the suspicion expires. A request that
completes is cleared, and so are all requests with the same fingerprint: a caller may
send the same request many times, and if others got a reply to it, it does not crash its
targets. An equal request of another caller is another request, as targets know their
callers.
"""

from __future__ import annotations

import hashlib
import time
from enum import IntEnum
from itertools import filterfalse

from lavendermount_core.models.calls import CallRequest
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.peer.frames import CrashSuspicion

# Also the time for which a completed request protects equal ones from suspicion.
SUSPICION_EXPIRY_S = 300.0
DEFAULT_MAX_VICTIMS = 2
MAX_SUSPECTS = 10000
FINGERPRINT_HEX_DIGITS = 16
IDEMPOTENCY_KEY_HEADER = 'idempotency-key'


class Verdict(IntEnum):
    """How a request may run: freely, alone on its target, or not at all."""

    FREE = 0
    EXCLUSIVE = 1
    REFUSED = 2


class Suspect:
    """Suspicion of one request.

    :param victims: targets that died while they ran the request, as
        ``node:start_number``.
    :param expires_at: time at which the suspicion expires.
    """

    __slots__ = ('victims', 'expires_at')

    def __init__(self, victims: set[str], expires_at: float) -> None:
        """Initialize the fields."""
        self.victims = victims
        self.expires_at = expires_at


class SuspectTable:
    """Suspected requests by fingerprint, including those of other nodes."""

    __slots__ = ('suspects', 'completed_at', 'max_victims', 'is_isolating')

    def __init__(self) -> None:
        """Create an empty table with the default limits."""
        self.suspects: dict[str, Suspect] = {}
        self.completed_at: dict[str, float] = {}
        self.max_victims = DEFAULT_MAX_VICTIMS
        self.is_isolating = True

    def configure(self, max_victims: int, is_isolating: bool) -> None:
        """Apply the settings of a preset.

        :param max_victims: number of dead targets from which on a request is
            refused.
        :param is_isolating: whether a suspected request runs alone.
        """
        self.max_victims = max_victims
        self.is_isolating = is_isolating

    def verdict(self, fingerprint: str) -> Verdict:
        """Return how a request may run.

        :param fingerprint: fingerprint of the request.
        """
        suspect = self.find(fingerprint)
        if suspect is None:
            return Verdict.FREE
        if self.is_refused(fingerprint):
            return Verdict.REFUSED
        return Verdict.EXCLUSIVE if self.is_isolating else Verdict.FREE

    def find(self, fingerprint: str) -> Suspect | None:
        """Return the suspicion of a request; drop it if it has expired."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None or suspect.expires_at > time.monotonic():
            return suspect
        self.suspects.pop(fingerprint)
        return None

    def remaining_s(self, fingerprint: str) -> float:
        """Return the time until a suspicion expires; 0 if there is none."""
        suspect = self.find(fingerprint)
        return suspect.expires_at - time.monotonic() if suspect else 0

    def add_victim(self, fingerprint: str, victim: str) -> CrashSuspicion | None:
        """Record that a target died while a request was in flight.

        :param victim: the target, as ``node:start_number``.
        :returns: the frame to send to other nodes; ``None`` if an equal request
            has completed recently.
        """
        frame = CrashSuspicion(
            fingerprint, [victim], int(SUSPICION_EXPIRY_S * MS_PER_S)
        )
        self.merge(frame)
        return self.describe(fingerprint) if fingerprint in self.suspects else None

    def merge(self, frame: CrashSuspicion) -> bool:
        """Merge a suspicion into the table.

        It is ignored if a request with this fingerprint has completed recently.

        :returns: whether it added targets that were not listed yet.
        """
        if self.has_completed(frame.fingerprint):
            return False
        expires_at = time.monotonic() + min(
            frame.remaining_ms / MS_PER_S, SUSPICION_EXPIRY_S
        )
        suspect = self.find(frame.fingerprint)
        if suspect is None:
            self.evict_if_full()
            suspect = Suspect(set(), expires_at)
            self.suspects[frame.fingerprint] = suspect
        known_count = len(suspect.victims)
        suspect.victims.update(frame.victims)
        return len(suspect.victims) > known_count

    def evict_if_full(self) -> None:
        """Evict the oldest suspicion if the table is full.

        Refused requests are evicted last: each of the others may merely have run
        beside a crash.
        """
        if len(self.suspects) < MAX_SUSPECTS:
            return
        oldest = next(iter(self.suspects))
        evicted = next(filterfalse(self.is_refused, self.suspects), oldest)
        self.suspects.pop(evicted)

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether enough targets have died for a request to be refused."""
        return len(self.suspects[fingerprint].victims) >= self.max_victims

    def unexpired(self) -> dict[str, None]:
        """Return the fingerprints of all suspicions by age; drop expired ones."""
        fingerprints = list(self.suspects)
        return {entry: None for entry in fingerprints if self.find(entry) is not None}

    def split_refused(self, fingerprints: list[str]) -> tuple[list[str], list[str]]:
        """Split fingerprints into those of refused requests and the others."""
        refused = list(filter(self.is_refused, fingerprints))
        return refused, list(filterfalse(self.is_refused, fingerprints))

    def clear(self, fingerprint: str) -> None:
        """Drop the suspicion of a request that completed; record the completion."""
        self.suspects.pop(fingerprint, None)
        self.completed_at.pop(fingerprint, None)
        self.completed_at[fingerprint] = time.monotonic()
        if len(self.completed_at) > MAX_SUSPECTS:
            self.completed_at.pop(next(iter(self.completed_at)))

    def has_completed(self, fingerprint: str) -> bool:
        """Whether a request with this fingerprint has completed recently."""
        completed_at = self.completed_at.get(fingerprint)
        return (
            completed_at is not None
            and time.monotonic() - completed_at < SUSPICION_EXPIRY_S
        )

    def describe(self, fingerprint: str) -> CrashSuspicion:
        """Create the frame that reports a suspicion to other nodes."""
        suspect = self.suspects[fingerprint]
        remaining_ms = int((suspect.expires_at - time.monotonic()) * MS_PER_S)
        return CrashSuspicion(fingerprint, sorted(suspect.victims), remaining_ms)


def fingerprint_of(request: CallRequest) -> str:
    """Compute a digest that is the same when a request is sent again.

    :returns: digest of service, tenant and caller together with the idempotency key,
        or with method, path and body if there is no key.
    """
    digest = hashlib.sha256(request.call_class.service.encode())
    digest.update(request.call_class.tenant.encode())
    if request.caller:
        digest.update(f'/{request.caller}/'.encode())
    key = next(
        (
            text
            for name, text in request.headers
            if name.lower() == IDEMPOTENCY_KEY_HEADER
        ),
        '',
    )
    if key:
        digest.update(key.encode())
        return digest.hexdigest()[:FINGERPRINT_HEX_DIGITS]
    digest.update(request.method.encode())
    digest.update(request.path.encode())
    digest.update(request.body)
    return digest.hexdigest()[:FINGERPRINT_HEX_DIGITS]
