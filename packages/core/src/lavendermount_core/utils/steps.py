"""Long computations in short steps, between which other work may run.

:shapes: a computation is a generator that yields after each step and returns its
    result.
:errors: those of the computation.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import TypeVar

StepResult = TypeVar('StepResult')
Steps = Generator[None, None, StepResult]


def run_steps(steps: Steps[StepResult]) -> StepResult:
    """Run all steps of a computation in one piece.

    :param steps: the computation.
    :returns: its result.
    """
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            finished: StepResult = stop.value
            return finished
