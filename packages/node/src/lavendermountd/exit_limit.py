"""Limit of the time that a process takes to exit.

:units: seconds.
:errors: none are raised.
"""

from __future__ import annotations

import logging
import os
import threading
import time

log = logging.getLogger(__name__)


def limit_exit(timeout_s: float, exit_code: int) -> None:
    """End the process if it has not exited by itself in time.

    Libraries and worker threads may wait without a limit for operations that never
    complete.

    :param timeout_s: time that the process has from now on.
    :param exit_code: exit code of a process that did not exit in time.
    """
    threading.Thread(
        target=_end_process, args=(timeout_s, exit_code), name='exit-limit', daemon=True
    ).start()


def _end_process(timeout_s: float, exit_code: int) -> None:
    time.sleep(timeout_s)
    log.error('exit-forced', extra={'timeout_s': timeout_s, 'exit_code': exit_code})
    logging.shutdown()
    os._exit(exit_code)  # noqa: WPS437
