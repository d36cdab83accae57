"""Runs long computations on the event loop in short slices.

Between two slices the loop handles whatever is due. A thread would hold up the loop
instead: it keeps the interpreter for 5 ms each time that the loop waits for a system
call, and for the whole of a call into C.

:units: seconds.
:errors: those of the computation.
"""

from __future__ import annotations

import asyncio
import time
from typing import TypeVar

from lavendermount_core.utils.steps import Steps

SLICE_S = 0.001

SliceResult = TypeVar('SliceResult')


async def run_in_slices(steps: Steps[SliceResult]) -> SliceResult:
    """Run a computation; one that fits into a slice is run at once.

    If the task is cancelled, the computation ends after its current slice.

    :param steps: the computation.
    :returns: its result.
    """
    slice_ends_at = time.monotonic() + SLICE_S
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            finished: SliceResult = stop.value
            return finished
        if time.monotonic() >= slice_ends_at:
            await asyncio.sleep(0)
            slice_ends_at = time.monotonic() + SLICE_S
