"""Calls to one member after the other until one answers, without long waits.

A member that has died just now may never answer, and many may have died together.

:units: seconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from itertools import islice
from typing import Final

from lavendermount_core.models.members import Member

# Time without an answer after which further members are called.
STAGGER_S: Final = 0.15
# Calls that wait for an answer at the same time at most.
MAX_WIDTH: Final = 16

MemberCall = Callable[[Member], Awaitable[bool]]


async def call_until_answered(members: Iterator[Member], call: MemberCall) -> bool:
    """Call members until one answers.

    A call that fails is replaced by another one, and the number of calls that wait
    doubles with each ``STAGGER_S``.

    :param members: members to take from; others may take from them as well.
    :param call: calls a member and returns whether it answered.
    :returns: whether one has answered.
    """
    width = 1
    clock = asyncio.get_running_loop().time
    widens_at = clock() + STAGGER_S
    async with asyncio.TaskGroup() as group:
        pending: set[asyncio.Task[bool]] = set()
        while True:
            for member in islice(members, width - len(pending)):
                pending.add(group.create_task(_await_call(call, member)))
            if not pending:
                return False
            done, pending = await asyncio.wait(
                pending,
                timeout=max(0, widens_at - clock()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if any(task.result() for task in done):
                return True
            if clock() >= widens_at:
                width = min(2 * width, MAX_WIDTH)
                widens_at += STAGGER_S


async def _await_call(call: MemberCall, member: Member) -> bool:
    return await call(member)
