"""Client of a node's control server.

:errors: ``NodeUnreachableError`` if the node does not answer.
"""

from __future__ import annotations

from types import TracebackType
from typing import Any, Self

import grpc

from lavendermount_core.exceptions import LavendermountError
from lavendermount_core.presets.records import PresetSnapshot
from lavendermountd.control.generated import control_pb2
from lavendermountd.control.generated.control_pb2_grpc import ControlStub
from lavendermountd.control.messages import preset_record

CALL_TIMEOUT_S = 3.0


class NodeUnreachableError(LavendermountError):
    """The node did not answer."""

    exit_code = 3


class NodeClient:
    """Client of one node; an async context manager that closes its channel.

    :param address: IP address and control port.
    """

    def __init__(self, address: str) -> None:
        """Open the channel."""
        self.address = address
        options = (('grpc.enable_http_proxy', 0),)
        self.channel = grpc.aio.insecure_channel(address, options)
        self.stub = ControlStub(self.channel)  # type: ignore[no-untyped-call]

    async def __aenter__(self) -> Self:
        """Return the client itself."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the channel."""
        await self.channel.close()

    async def status(self) -> control_pb2.StatusReply:
        """Request the status of the node."""
        answer: control_pb2.StatusReply
        answer = await self.call(self.stub.Status, control_pb2.StatusRequest())
        return answer

    async def drain(self, stop: bool) -> control_pb2.DrainReply:
        """Drain the node's target.

        :param stop: whether the node also stops once it is drained.
        """
        request = control_pb2.DrainRequest(stop=stop)
        answer: control_pb2.DrainReply = await self.call(self.stub.Drain, request)
        return answer

    async def preset(self) -> PresetSnapshot | None:
        """Request the preset in force.

        :returns: the preset; ``None`` if no preset is in force or the node's fold is
            not settled.
        """
        answer = await self.call(self.stub.Preset, control_pb2.PresetRequest())
        return preset_record(answer) if answer.is_settled else None

    async def call(self, method: Any, request: object) -> Any:
        """Make one gRPC call.

        :raises NodeUnreachableError: if the call fails or times out.
        """
        try:
            return await method(request, timeout=CALL_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            cause = error.details() or error.code().name
            raise NodeUnreachableError(f'node {self.address}: {cause}') from error
