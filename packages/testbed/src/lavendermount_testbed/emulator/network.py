"""Delays between VMs and the shared links between regions.

:units: seconds and bytes.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter

from lavendermount_core.models.members import Member
from lavendermount_core.routing.candidates import Distance, distance_between
from lavendermount_core.utils.units import MS_PER_S
from lavendermount_testbed.emulator.scenario import NetworkOptions

BYTES_PER_MBIT = 125000
MESSAGE_OVERHEAD_BYTES = 300


class Network:
    """Delays messages and counts their bytes by distance.

    :param options: delays and bandwidth.
    """

    __slots__ = ('options', 'link_free_at', 'bytes_sent')

    def __init__(self, options: NetworkOptions) -> None:
        """Start with idle links."""
        self.options = options
        self.link_free_at: dict[tuple[str, str], float] = {}
        self.bytes_sent: Counter[Distance] = Counter()

    async def transfer(self, origin: Member, destination: Member, size: int) -> None:
        """Wait until a message sent now from one VM reaches another.

        :param size: bytes of the body; ``MESSAGE_OVERHEAD_BYTES`` are added.
        """
        await asyncio.sleep(
            self.schedule_message(origin, destination, size + MESSAGE_OVERHEAD_BYTES)
        )

    def schedule_message(self, origin: Member, destination: Member, size: int) -> float:
        """Return the delay of a message sent now, in seconds.

        Counts its bytes. A message to another region is queued on the link there.
        """
        hop_s = self.options.hop_ms / MS_PER_S
        distance = distance_between(origin, destination)
        self.bytes_sent[distance] += size
        if distance <= Distance.SAME_ZONE:
            return hop_s
        if distance == Distance.SAME_REGION:
            return hop_s + self.options.zone_ms / MS_PER_S
        transmission_s = self.reserve_link(origin.region, destination.region, size)
        return hop_s + transmission_s + self.options.region_ms / MS_PER_S

    def reserve_link(self, origin: str, destination: str, size: int) -> float:
        """Queue bytes on the link between two regions.

        :returns: time until the last byte has been sent.
        """
        now = time.monotonic()
        bytes_per_s = self.options.region_mbit * BYTES_PER_MBIT
        free_at = (
            max(self.link_free_at.get((origin, destination), 0), now)
            + size / bytes_per_s
        )
        self.link_free_at[origin, destination] = free_at
        return free_at - now
