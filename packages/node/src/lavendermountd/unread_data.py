"""Data that has arrived on a connection and has not been read.

It waits in the kernel while the event loop is busy.

:errors: none are raised.
"""

from __future__ import annotations

import socket

from tornado.iostream import IOStream


def has_unread_data(stream: IOStream) -> bool:
    """Return whether data, or the end of the connection, waits in the kernel.

    :param stream: an open stream.
    """
    try:
        stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
