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

REPORT_TIMEOUT_S = 0.2


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
    # A log whose reader has stopped blocks whoever writes to it.
    report = threading.Thread(target=_report, args=(timeout_s, exit_code), daemon=True)
    report.start()
    report.join(REPORT_TIMEOUT_S)
    os._exit(exit_code)  # noqa: WPS437


def _report(timeout_s: float, exit_code: int) -> None:
    log.error('exit-forced', extra={'timeout_s': timeout_s, 'exit_code': exit_code})
    logging.shutdown()
