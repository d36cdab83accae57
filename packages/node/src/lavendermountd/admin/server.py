"""HTTP for /metrics, /ready and announcements of the target.

:errors: a malformed announcement is answered with its findings.
"""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from aioprometheus.renderer import render
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from lavendermount_core.config import options as opt
from lavendermount_core.config.findings import Finding
from lavendermount_core.config.node import PORT_LIMIT
from lavendermountd.gate.reports import TargetReport
from lavendermountd.gauges import refresh_metrics

if TYPE_CHECKING:
    from lavendermountd.node import Node

BAD_REQUEST = 400
NOT_READY = 503
SLOT_LIMIT = 10000
TARGET_STATES = ('ready', 'draining', 'stopped')


def _state_choices() -> list[str]:
    return list(TARGET_STATES)


class Announcement(opt.Schema):
    """What a target says of itself."""

    service = opt.Text(about='Service of the target.')
    host = opt.Text('127.0.0.1', 'IP number of the target.')
    port = opt.Integer(None, 'Port of the target.', 'port', low=1, high=PORT_LIMIT)
    slots = opt.Integer(
        1, 'Requests it works on at once.', 'slots', low=1, high=SLOT_LIMIT
    )
    instance = opt.Text('', 'Changes with each start of the target.')
    state = opt.Text('ready', 'What the target does now.', _state_choices)


class NodeHandler(RequestHandler):
    """Base of the handlers; knows the node."""

    def initialize(self, node: Node) -> None:
        """Keep the node."""
        self.node = node


class AnnounceHandler(NodeHandler):
    """Takes announcements of the target beside the node."""

    def post(self) -> None:
        """Take over an announcement, or answer with what is wrong in it."""
        try:
            raw = json.loads(self.request.body)
        except ValueError as error:
            self.reject([Finding('announcement', str(error))])
            return
        announcement, findings = Announcement.load(raw, 'announcement')
        if findings:
            self.reject(findings)
            return
        self.node.keeper.take_report(
            TargetReport(
                announcement.service,
                announcement.host,
                announcement.port,
                announcement.slots,
                announcement.instance,
                announcement.state,
            ),
        )
        self.write({'accepted': True})

    def reject(self, findings: list[Finding]) -> None:
        """Answer with the findings."""
        self.set_status(BAD_REQUEST)
        self.write({'findings': [str(finding) for finding in findings]})


class MetricsHandler(NodeHandler):
    """Serves the metrics in the format that was asked for."""

    def get(self) -> None:
        """Collect and write the metrics."""
        refresh_metrics(self.node)
        accepted_types = self.request.headers.get_list('Accept')
        body, headers = render(self.node.metrics.registry, accepted_types)
        for name, text in headers.items():
            self.set_header(name, text)
        self.write(body)


class ReadyHandler(NodeHandler):
    """Says whether the node serves callers."""

    def get(self) -> None:
        """Answer 200 if it does, 503 if not."""
        reason = self.node.why_not_ready()
        if reason:
            self.set_status(NOT_READY)
        self.write({'ready': not reason, 'reason': reason})


async def serve_admin(node: Node, host: str, port: int) -> None:
    """Serve until cancelled.

    :param node: what is served.
    :param host: IP number to listen on.
    :param port: port to listen on.
    """
    handler_args = {'node': node}
    application = Application(
        [
            ('/announce', AnnounceHandler, handler_args),
            ('/metrics', MetricsHandler, handler_args),
            ('/ready', ReadyHandler, handler_args),
        ],
        log_function=_skip_request_log,
    )
    server = HTTPServer(application)
    server.listen(port, address=host)
    try:
        await asyncio.Event().wait()
    finally:
        server.stop()


def _skip_request_log(request: RequestHandler) -> None:
    """Keep requests of probes and scrapers out of the logs."""
