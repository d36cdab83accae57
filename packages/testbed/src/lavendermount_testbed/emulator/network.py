"""Delays between VMs, and the links that regions share.

:units: seconds and bytes.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter

from lavendermount_core.routing.candidates import Distance, distance_between
from lavendermount_core.structure.members import Member
from lavendermount_core.utils.units import MS_PER_S
from lavendermount_testbed.emulator.scenario import NetworkOptions

BYTES_PER_MBIT = 125000
MESSAGE_BYTES = 300


class Network:
    """Carries messages and counts their bytes.

    :param options: delays and bandwidth.
    """

    __slots__ = ('options', 'free_at', 'carried')

    def __init__(self, options: NetworkOptions) -> None:
        """Start with free links."""
        self.options = options
        self.free_at: dict[tuple[str, str], float] = {}
        self.carried: Counter[Distance] = Counter()

    async def carry(self, origin: Member, to: Member, size: int) -> None:
        """Carry a message from one VM to another.

        :param size: bytes beside the head.
        """
        await asyncio.sleep(self.delay_s(origin, to, size + MESSAGE_BYTES))

    def delay_s(self, origin: Member, to: Member, size: int) -> float:
        """Work out how long a message takes that is sent now."""
        hop_s = self.options.hop_ms / MS_PER_S
        distance = distance_between(origin, to)
        self.carried[distance] += size
        if distance <= Distance.SAME_ZONE:
            return hop_s
        if distance == Distance.SAME_REGION:
            return hop_s + self.options.zone_ms / MS_PER_S
        waits_s = self.occupy(origin.region, to.region, size)
        return hop_s + waits_s + self.options.region_ms / MS_PER_S

    def occupy(self, origin: str, to: str, size: int) -> float:
        """Take the link between two regions.

        :returns: time until the last byte is on it.
        """
        now = time.monotonic()
        rate = self.options.region_mbit * BYTES_PER_MBIT
        free_at = max(self.free_at.get((origin, to), 0), now) + size / rate
        self.free_at[origin, to] = free_at
        return free_at - now
