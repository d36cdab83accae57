"""Process that prints by how many bytes it grew while bodies grew beside each other.

Argument: capacity of the budget in bytes.
"""

from __future__ import annotations

import logging
import random
import resource
import sys

from lavendermountd.heap import keep_large_blocks_out
from lavendermountd.memory import BodyBuffer, BodyKind, MemoryBudget

PART = bytes(65536)
BODY_COUNT = 6
PARTS_IN_ALL = 20_000
BYTES_PER_KB = 1024


def peak_bytes() -> int:
    """Return the most memory that the process has had."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KB


def main() -> None:
    """Let bodies grow in turn, and drop each that finds no room."""
    logging.disable()
    keep_large_blocks_out()
    budget = MemoryBudget(int(sys.argv[1]))
    rng = random.Random(1)
    bodies: list[BodyBuffer] = []
    before = peak_bytes()
    for _ in range(PARTS_IN_ALL):
        while len(bodies) < BODY_COUNT:
            bodies.append(
                BodyBuffer(budget, BodyKind.TARGET_REPLY, budget.capacity_bytes)
            )
        body = rng.choice(bodies)
        body.add(PART)
        if body.missing_bytes:
            bodies.remove(body)
    sys.stdout.write(f'{peak_bytes() - before}\n')


if __name__ == '__main__':
    main()
