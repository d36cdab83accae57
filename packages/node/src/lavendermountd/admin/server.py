"""HTTP server for /metrics, /ready and target announcements.

:errors: a malformed announcement is answered 400 with its findings.
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
from lavendermount_core.config.node import MAX_PORT
from lavendermountd.gate.reports import TargetReport
from lavendermountd.gauges import refresh_metrics

if TYPE_CHECKING:
    from lavendermountd.node import Node

BAD_REQUEST = 400
NOT_READY = 503
MAX_SLOTS = 10000
TARGET_STATES = ('ready', 'draining', 'stopped')


def _state_choices() -> list[str]:
    return list(TARGET_STATES)


class Announcement(opt.Schema):
    """Body of an announcement that a target sends to its node."""

    service = opt.Text(about='Service of the target.')
    host = opt.Text('127.0.0.1', 'IP address of the target.')
    port = opt.Integer(None, 'Port of the target.', 'port', low=1, high=MAX_PORT)
    slots = opt.Integer(
        1,
        'Requests that the target handles concurrently.',
        'slots',
        low=1,
        high=MAX_SLOTS,
    )
    instance = opt.Text('', 'Identifier that changes with each start of the target.')
    state = opt.Text('ready', 'Current state of the target.', _state_choices)


class NodeHandler(RequestHandler):
    """Base class of handlers that need the node."""

    def initialize(self, node: Node) -> None:
        """Store the node."""
        self.node = node


class AnnounceHandler(NodeHandler):
    """Handles announcements from the node's target."""

    def post(self) -> None:
        """Apply an announcement, or answer 400 with its findings."""
        try:
            raw = json.loads(self.request.body)
        except ValueError as error:
            self.reject([Finding('announcement', str(error))])
            return
        announcement, findings = Announcement.load(raw, 'announcement')
        if findings:
            self.reject(findings)
            return
        self.node.target_lifecycle.handle_report(
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
        """Answer 400 with the findings."""
        self.set_status(BAD_REQUEST)
        self.write({'findings': [str(finding) for finding in findings]})


class MetricsHandler(NodeHandler):
    """Serves the metrics in a format that the Accept header allows."""

    def get(self) -> None:
        """Refresh the gauges and write all metrics."""
        refresh_metrics(self.node)
        accepted_types = self.request.headers.get_list('Accept')
        body, headers = render(self.node.metrics.registry, accepted_types)
        for name, text in headers.items():
            self.set_header(name, text)
        self.write(body)


class ReadyHandler(NodeHandler):
    """Reports whether the node serves callers."""

    def get(self) -> None:
        """Answer 200 if the node is ready, 503 if not."""
        reason = self.node.not_ready_reason()
        if reason:
            self.set_status(NOT_READY)
        self.write({'ready': not reason, 'reason': reason})


async def serve_admin(node: Node, host: str, port: int) -> None:
    """Serve admin requests until cancelled.

    :param node: node whose metrics and readiness are served.
    :param host: IP address to listen on.
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
    """Log no requests; probes and scrapers would fill the logs."""
