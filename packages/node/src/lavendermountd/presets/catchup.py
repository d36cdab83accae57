"""Fetches the preset in force from a peer with a newer revision.

:units: seconds.
:errors: none are raised; the next gossip round reports a newer peer again.
"""

from __future__ import annotations

import asyncio
import logging

from lavendermount_core.models.members import Member
from lavendermountd.control.channels import ChannelPool, ControlCallError
from lavendermountd.control.generated import control_pb2
from lavendermountd.control.messages import preset_record
from lavendermountd.presets.holder import PresetHolder

log = logging.getLogger(__name__)

FETCH_TIMEOUT_S = 2.0
FETCH_PAUSE_S = 0.3


class PresetCatchUp:
    """Fetches the preset from a peer whose revision is higher.

    :param holder: holder that adopts the preset.
    :param channels: gRPC channels to the peers.
    """

    def __init__(self, holder: PresetHolder, channels: ChannelPool) -> None:
        """Start with no newer peer known."""
        self.holder = holder
        self.channels = channels
        self.newer_peer: Member | None = None
        self.is_behind = asyncio.Event()
        self.is_up_to_date = asyncio.Event()
        self.is_up_to_date.set()

    def note_revision(self, member: Member, revision: int) -> None:
        """Remember a peer if its revision is newer."""
        if revision > self.holder.revision:
            self.newer_peer = member
            self.is_behind.set()
            self.is_up_to_date.clear()

    async def run(self) -> None:
        """Fetch the preset whenever a peer is newer, until cancelled."""
        while True:
            await self.is_behind.wait()
            self.is_behind.clear()
            if self.newer_peer is not None:
                await self.fetch(self.newer_peer)
            if not self.is_behind.is_set():
                self.is_up_to_date.set()
            await asyncio.sleep(FETCH_PAUSE_S)

    async def fetch(self, member: Member) -> None:
        """Request the preset in force from a peer, and adopt it."""
        try:
            answer = await self.channels.call_member(
                member, 'Preset', control_pb2.PresetRequest(), FETCH_TIMEOUT_S
            )
        except ControlCallError as error:
            log.info(
                'preset-fetch-failed',
                extra={'peer': member.node_id, 'cause': str(error)},
            )
            return
        if answer.is_settled:
            self.holder.adopt(preset_record(answer), member.node_id)
