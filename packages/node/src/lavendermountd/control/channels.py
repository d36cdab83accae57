"""gRPC channels to the control servers of other nodes.

:errors: ``grpc.aio.AioRpcError`` from the calls made on a stub.
"""

from __future__ import annotations

import grpc

from lavendermount_core.models.members import Member
from lavendermountd.control.generated.control_pb2_grpc import ControlStub
from lavendermountd.identity import Identity

MAX_CHANNELS = 64
CHANNEL_OPTIONS = (
    ('grpc.enable_retries', 0),
    ('grpc.max_reconnect_backoff_ms', 1000),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', 100),
    # Otherwise a new channel could share the connection of a closed one, which may
    # never answer again.
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.enable_http_proxy', 0),
)


class ChannelPool:
    """A bounded pool of open channels by address.

    A channel whose call failed is closed, and the next call opens a new one: the
    old connection may never answer again.

    :param identity: resolves the control addresses of members.
    """

    __slots__ = ('identity', 'channels')

    def __init__(self, identity: Identity) -> None:
        """Start without open channels."""
        self.identity = identity
        self.channels: dict[str, grpc.aio.Channel] = {}

    async def stub_of(self, member: Member) -> ControlStub:
        """Return a stub for a member; open the channel if necessary."""
        return await self.stub(self.identity.control_address_of(member))

    async def drop_of(self, member: Member) -> None:
        """Close the channel to a member."""
        await self.drop(self.identity.control_address_of(member))

    async def stub(self, address: str) -> ControlStub:
        """Return a stub for an address; open the channel if necessary.

        :param address: IP address and port.
        :returns: stub that calls this address.
        """
        channel = self.channels.pop(address, None)
        if channel is None:
            await self.evict_if_full()
            channel = grpc.aio.insecure_channel(address, CHANNEL_OPTIONS)
        self.channels[address] = channel
        return ControlStub(channel)  # type: ignore[no-untyped-call]

    async def evict_if_full(self) -> None:
        """Close the least recently used channel if the pool is full."""
        if len(self.channels) >= MAX_CHANNELS:
            await self.drop(next(iter(self.channels)))

    async def drop(self, address: str) -> None:
        """Close the channel to an address."""
        channel = self.channels.pop(address, None)
        if channel is not None:
            await channel.close()

    async def close(self) -> None:
        """Close all channels."""
        for address in tuple(self.channels):
            await self.drop(address)
