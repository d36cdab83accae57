"""Verdicts on the requests of a loss soak, and the log lines that belong to them.

:units: seconds on the monotonic clock; time of day in log lines.
:source: the rules on lost requests, promises and planned departures in the users'
    document on what the system has to keep.
"""

from __future__ import annotations

import re
import time
from collections.abc import Callable, Iterator
from datetime import datetime
from pathlib import Path

from lavendermount_core.utils.registry import Registry
from lavendermount_core.utils.units import MS_PER_S
from lavendermount_testbed.loss_callers import (
    DEADLINE_MS,
    PROMISES,
    Ending,
    SentRequest,
)

# A request that crosses the close of its connection is not counted within this time.
LOSS_SLACK_S = 0.2
# Time after which a reply is useless, twice the deadline of the requests.
SILENT_S = 2 * DEADLINE_MS / MS_PER_S
# Log lines of the node that may explain a finding, and how far from it they may be.
EVENTS = re.compile(
    'request-unanswered|request-discarded|event-loop-stalled|connection-failed'
    '|process-was-frozen|node-st|preset-in-force|settings-re'
)
LINE_TIME = re.compile('time="([^"]+)"')
LINES_BEFORE_S = 2.0
LINES_AFTER_S = 1.5
# Time between the send and the end of a connection by the process that owns it.
KILL_SLACK_S = 0.5


class RunReport:
    """What callers, targets and the soak itself observed in a run.

    :param requests: requests of the callers.
    :param run_counts: number of executions of each request.
    :param own_lag: for how long the callers themselves were late between two times.
    """

    __slots__ = ('requests', 'run_counts', 'own_lag', 'kills')

    def __init__(
        self,
        requests: list[SentRequest],
        run_counts: dict[str, int],
        own_lag: Callable[[float, float], float],
    ) -> None:
        """Start without killed nodes."""
        self.requests = requests
        self.run_counts = run_counts
        self.own_lag = own_lag
        # Name and time of each node that was killed, because it did not end.
        self.kills: list[tuple[str, float]] = []

    def run_count(self, request: SentRequest) -> int:
        """Return how often targets ran a request."""
        return self.run_counts.get(request.run_id, 0)

    def waited_s(self, request: SentRequest) -> float:
        """Return the time from the last byte sent to the end of the request.

        The time for which the callers themselves were late is not part of it.
        """
        lag_s = self.own_lag(request.sent_at, request.ended_at)
        return request.ended_at - request.sent_at - lag_s

    def was_killed(self, request: SentRequest) -> bool:
        """Return whether the process that had the request was killed."""
        return any(
            node == request.node and abs(at - request.ended_at) < KILL_SLACK_S
            for node, at in self.kills
        )


Verdict = Callable[[RunReport, SentRequest], bool]
verdicts: Registry[str, Verdict] = Registry('verdict')


@verdicts.register('lost-after-passed-on')
def is_lost_after_passed_on(report: RunReport, request: SentRequest) -> bool:
    """Whether the connection closed without the reply to a request that ran."""
    if request.ending != Ending.CLOSED or report.was_killed(request):
        return False
    return report.run_count(request) > 0


@verdicts.register('lost-in-node')
def is_lost_in_node(report: RunReport, request: SentRequest) -> bool:
    """Whether the node closed the connection later than a close could be crossed.

    A request behind another one on its connection may be sent again by its caller.
    """
    if request.ending != Ending.CLOSED or report.was_killed(request):
        return False
    if request.is_behind or report.run_count(request):
        return False
    return report.waited_s(request) > LOSS_SLACK_S


@verdicts.register('silent')
def is_silent(report: RunReport, request: SentRequest) -> bool:
    """Whether the connection stayed open without a reply, well after the deadline.

    As always, the time for which the callers themselves were late does not count.
    """
    if request.ending != Ending.SILENT:
        return False
    return report.waited_s(request) > SILENT_S


@verdicts.register('mixed')
def is_mixed(report: RunReport, request: SentRequest) -> bool:
    """Whether the reply belongs to another request."""
    return not request.is_matching


@verdicts.register('twice')
def has_run_twice(report: RunReport, request: SentRequest) -> bool:
    """Whether an order ran more than once."""
    return request.method == 'POST' and report.run_count(request) > 1


@verdicts.register('promise-broken')
def is_promise_broken(report: RunReport, request: SentRequest) -> bool:
    """Whether a request ran although its status promises that it did not."""
    return request.status in PROMISES and report.run_count(request) > 0


def find_violations(report: RunReport, folder: Path) -> Iterator[str]:
    """Apply all verdicts to all requests.

    :param folder: folder with the output of the nodes.
    :returns: description of each violation, with the log lines of its node.
    """
    for request in report.requests:
        for name in verdicts.names():
            if verdicts.find(name)(report, request):
                yield describe(name, report, request, folder)


def describe(name: str, report: RunReport, request: SentRequest, folder: Path) -> str:
    """Describe a violation, with the log lines of its node."""
    offset_s = time.time() - time.monotonic()
    sent_at = request.sent_at + offset_s
    ended_at = request.ended_at + offset_s
    fields = (
        name,
        f'request={request.run_id}',
        f'method={request.method}',
        f'pattern={request.pattern}',
        f'node={request.node}',
        f'idle_ms={request.idle_s * MS_PER_S:.0f}',
        f'sent={format_time(sent_at)}',
        f'ended={format_time(ended_at)}',
        f'total_ms={(ended_at - sent_at) * MS_PER_S:.0f}',
        f'waited_ms={report.waited_s(request) * MS_PER_S:.0f}',
        f'status={request.status}',
        f'ran={report.run_count(request)}',
    )
    lines = read_lines(folder / f'{request.node}.log', sent_at, ended_at)
    return '\n    '.join((' '.join(fields), *lines))


def read_lines(path: Path, sent_at: float, ended_at: float) -> Iterator[str]:
    """Read the log lines of a node that may explain the end of a request."""
    for line in path.read_text(errors='replace').splitlines():
        found = LINE_TIME.search(line)
        if found is None or not EVENTS.search(line):
            continue
        logged_at = datetime.fromisoformat(found[1]).timestamp()
        if sent_at - LINES_BEFORE_S <= logged_at <= ended_at + LINES_AFTER_S:
            yield line


def format_time(at: float) -> str:
    """Format a time of day as the nodes do."""
    moment = datetime.fromtimestamp(at).astimezone()
    return moment.time().isoformat('milliseconds')
