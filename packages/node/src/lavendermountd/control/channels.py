"""Control calls to other nodes over a pool of gRPC channels.

An open connection may have fallen silent for good while new ones work, and only a call
shows it. A call over one that was idle is therefore made over a new one as well if its
reply takes long. All control calls may be repeated.

:units: seconds.
:errors: ``ControlCallError`` from a call that failed or timed out.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

import grpc

from lavendermount_core.exceptions import LavendermountError
from lavendermount_core.models.members import Member
from lavendermountd.control.generated.control_pb2_grpc import ControlStub
from lavendermountd.identity import Identity

MAX_CHANNELS = 64
# Time since the last reply after which a connection may have fallen silent.
DOUBT_AFTER_S = 1.0
# Time without a reply after which a call is made over a new connection as well.
REPEAT_AFTER_S = 0.2
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


class ControlCallError(LavendermountError):
    """A control call failed; the other node may have handled it nevertheless."""


class PooledChannel:
    """A gRPC channel and the number of calls that use it.

    :param address: IP address and port of the control server.
    """

    __slots__ = ('channel', 'stub', 'active_calls', 'is_dropped', 'replied_at')

    def __init__(self, address: str) -> None:
        """Open the channel; it connects with the first call."""
        self.channel = grpc.aio.insecure_channel(address, CHANNEL_OPTIONS)
        self.stub = ControlStub(self.channel)  # type: ignore[no-untyped-call]
        self.active_calls = 0
        self.is_dropped = False
        self.replied_at = time.monotonic()

    @property
    def is_doubtful(self) -> bool:
        """Return whether the connection may have fallen silent."""
        return time.monotonic() - self.replied_at > DOUBT_AFTER_S

    async def call(self, method: str, request: Any, timeout_s: float) -> Any:
        """Make one call, and close a dropped channel after its last call.

        :raises ControlCallError: if there is no reply in time.
        """
        self.active_calls += 1
        try:
            reply = await self.make_call(method, request, timeout_s)
        finally:
            self.active_calls -= 1
            await self.close_if_unused()
        self.replied_at = time.monotonic()
        return reply

    async def make_call(self, method: str, request: Any, timeout_s: float) -> Any:
        """Make one call.

        :raises ControlCallError: if there is no reply in time.
        """
        call = getattr(self.stub, method)
        return await _await_reply(call(request, timeout=timeout_s))

    async def drop(self) -> None:
        """Close the channel, once no call uses it.

        Closing a channel cancels its calls, and those of other tasks may still
        get their replies.
        """
        self.is_dropped = True
        await self.close_if_unused()

    async def close_if_unused(self) -> None:
        """Close a dropped channel that no call uses."""
        if self.is_dropped and not self.active_calls:
            await self.channel.close()


class ChannelPool:
    """A bounded pool of open channels by address.

    A channel whose call failed is dropped, and the next call opens a new one: the
    old connection may never answer again.

    :param identity: resolves the control addresses of members.
    """

    __slots__ = ('identity', 'channels', 'open_channel')

    def __init__(self, identity: Identity) -> None:
        """Start without open channels."""
        self.identity = identity
        self.channels: dict[str, PooledChannel] = {}
        # Opens a channel to an address; a simulation replaces it.
        self.open_channel: Callable[[str], PooledChannel] = PooledChannel

    async def call_member(
        self, member: Member, method: str, request: Any, timeout_s: float
    ) -> Any:
        """Call a member.

        :param member: member to call.
        :param method: name of the control call.
        :param request: message of that call.
        :param timeout_s: time within which the reply must arrive.
        :raises ControlCallError: if it does not.
        :returns: the reply.
        """
        address = self.identity.control_address_of(member)
        return await self.call(address, method, request, timeout_s)

    async def call(
        self, address: str, method: str, request: Any, timeout_s: float
    ) -> Any:
        """Call an address; open the channel if necessary.

        :param address: IP address and port.
        :param method: name of the control call.
        :param request: message of that call.
        :param timeout_s: time within which the reply must arrive.
        :raises ControlCallError: if it does not.
        :returns: the reply.
        """
        pooled = self.channels.get(address)
        if pooled is None or not pooled.is_doubtful or timeout_s <= REPEAT_AFTER_S:
            return await self.call_once(address, method, request, timeout_s)
        first = asyncio.create_task(self.call_once(address, method, request, timeout_s))
        calls = {first}
        try:
            await asyncio.wait(calls, timeout=REPEAT_AFTER_S)
            if not first.done():
                await self.drop(address, pooled)
                left_s = timeout_s - REPEAT_AFTER_S
                again = self.call_once(address, method, request, left_s)
                calls.add(asyncio.create_task(again))
            return await _first_reply(calls)
        finally:
            for call in calls:
                call.cancel()

    async def call_once(
        self, address: str, method: str, request: Any, timeout_s: float
    ) -> Any:
        """Call an address over one channel; see ``call``."""
        pooled = self.channels.pop(address, None)
        if pooled is None:
            await self.evict_if_full()
            pooled = self.open_channel(address)
        self.channels[address] = pooled
        try:
            return await pooled.call(method, request, timeout_s)
        except ControlCallError:
            await self.drop(address, pooled)
            raise

    async def evict_if_full(self) -> None:
        """Drop the least recently used channel if the pool is full."""
        if len(self.channels) >= MAX_CHANNELS:
            address, pooled = next(iter(self.channels.items()))
            await self.drop(address, pooled)

    async def drop(self, address: str, pooled: PooledChannel) -> None:
        """Drop a channel, unless another one replaced it in the meantime."""
        if self.channels.get(address) is pooled:
            self.channels.pop(address)
        await pooled.drop()

    async def close(self) -> None:
        """Close all channels and cancel their calls."""
        closing = list(self.channels.values())
        self.channels.clear()
        for pooled in closing:
            await pooled.channel.close()


async def _first_reply(calls: set[asyncio.Task[Any]]) -> Any:
    """Wait until one of some calls has a reply.

    :raises ControlCallError: if all of them fail.
    """
    pending = calls
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        replied = [call for call in done if call.exception() is None]
        if replied or not pending:
            return (replied or list(done))[0].result()


async def _await_reply(reply: Awaitable[Any]) -> Any:
    """Wait for the reply of a call.

    A call whose channel is closed raises ``CancelledError``, although the task
    that waits for it was not cancelled; it would end that task without a trace.

    :raises ControlCallError: if the call failed or its channel was closed.
    """
    try:
        return await reply
    except grpc.aio.AioRpcError as error:
        cause = error.details() or ''
        raise ControlCallError(f'{error.code().name}: {cause}') from error
    except asyncio.CancelledError:
        task = asyncio.current_task()
        if task is None or task.cancelling():
            raise
        raise ControlCallError('the channel was closed') from None
