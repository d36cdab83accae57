"""Signals of the node process, from its start to its exit.

:errors: none are raised.
"""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Callable, Mapping
from functools import partial
from types import FrameType

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

# Signals that are read at once after the event loop has woken up.
MAX_SIGNALS = 64

SignalHandlers = Mapping[int, Callable[[], object]]


class ProcessSignals:
    """Receives signals before, while and after the event loop handles them.

    By default a signal ends the process: SIGHUP one that starts, and a second SIGTERM
    one that has stopped and is about to exit. SIGTERM and SIGINT keep that effect until
    ``attach``: a process that starts has accepted nothing yet.
    """

    __slots__ = ('received', 'deliver', 'waking_end')

    def __init__(self) -> None:
        """Start without a signal; ``install`` receives them."""
        self.received: list[int] = []
        self.deliver: Callable[[int], object] | None = None
        # Wakes the event loop; the interpreter writes a byte for each signal to it.
        self.waking_end: socket.socket | None = None

    def install(self) -> None:
        """Keep SIGHUP until ``attach`` has named its handler."""
        signal.signal(signal.SIGHUP, self.receive)

    def receive(self, signum: int, frame: FrameType | None) -> None:
        """Pass a signal to its handler, or keep it."""
        if self.deliver is None:
            self.received.append(signum)
            return
        self.deliver(signum)

    def attach(self, handlers: SignalHandlers) -> None:
        """Let the running event loop call the handlers, also for kept signals.

        :param handlers: handlers by number of their signal.
        """
        loop = asyncio.get_running_loop()
        woken_end, waking_end = socket.socketpair()
        woken_end.setblocking(False)
        waking_end.setblocking(False)
        self.waking_end = waking_end
        # The handler of a signal runs once the event loop wakes up.
        signal.set_wakeup_fd(waking_end.fileno(), warn_on_full_buffer=False)
        loop.add_reader(woken_end, woken_end.recv, MAX_SIGNALS)
        self.deliver = partial(_schedule, loop, handlers)
        for handled in SIGNALS:
            signal.signal(handled, self.receive)
        for signum in self.received:
            self.deliver(signum)

    def ignore(self) -> None:
        """Ignore further signals, because the process exits."""
        for signum in SIGNALS:
            signal.signal(signum, signal.SIG_IGN)


def _schedule(
    loop: asyncio.AbstractEventLoop, handlers: SignalHandlers, signum: int
) -> None:
    loop.call_soon_threadsafe(handlers[signum])
