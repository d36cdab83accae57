"""The newest preset that this node can pass on to others.

A preset that was received from a peer is passed on while it is still being prepared.
Otherwise the time to prepare it would add up over all nodes between the log and the
last one. Each node validates for itself what it puts in force.

:errors: none.
"""

from __future__ import annotations

from collections.abc import Callable

from lavendermount_core.models.members import Member
from lavendermount_core.presets.records import PresetSnapshot
from lavendermountd.control.generated import control_pb2
from lavendermountd.presets.holder import PresetHolder


class ReceivedPreset:
    """A preset of a peer that is not in force here.

    :param snapshot: the preset; not validated.
    :param reply: the reply that completed it. It names the position of the log that the
        preset stands for.
    :param compressed: its body as it was received; empty if it was not compressed.
    :param peer: the peer.
    """

    __slots__ = ('snapshot', 'reply', 'compressed', 'peer')

    def __init__(
        self,
        snapshot: PresetSnapshot,
        reply: control_pb2.PresetReply,
        compressed: bytes,
        peer: Member,
    ) -> None:
        """Initialize the fields."""
        self.snapshot = snapshot
        self.reply = reply
        self.compressed = compressed
        self.peer = peer


class PresetRelay:
    """Holds a received preset until it is in force or refused.

    :param holder: holds the preset in force.
    """

    __slots__ = ('holder', 'received', 'on_receive')

    def __init__(self, holder: PresetHolder) -> None:
        """Start with nothing received."""
        self.holder = holder
        self.received: ReceivedPreset | None = None
        # Called after a preset was received.
        self.on_receive: Callable[[], None] = _ignore_preset

    @property
    def pending(self) -> ReceivedPreset | None:
        """The received preset, if it is newer than the one in force."""
        received = self.received
        if received is None or received.snapshot.revision <= self.holder.revision:
            return None
        return received

    @property
    def revision(self) -> int:
        """Revision of the newest preset that can be passed on."""
        pending = self.pending
        return self.holder.revision if pending is None else pending.snapshot.revision

    def receive(self, received: ReceivedPreset) -> None:
        """Take a preset of a peer if it is newer than those known."""
        if received.snapshot.revision <= self.revision:
            return
        self.received = received
        self.on_receive()

    def drop(self, received: ReceivedPreset) -> None:
        """Drop a preset that is in force or was refused."""
        if self.received is received:
            self.received = None


def _ignore_preset() -> None:
    """Do nothing; the node installs the real callback."""
