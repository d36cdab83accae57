"""Steps about the path of requests."""

from __future__ import annotations

import contextlib
import random
import socket
import time
from typing import Any

from behave import then, when
from builders import DEALER
from deployment_steps import instance_of
from request_steps import Sent, send

RANDOM_BYTES = 4000
FILE_BYTES = 3_000_000


@when('a caller sends GET "{path}" for an unknown host to node {number:d}')
def get_unknown(context: Any, path: str, number: int) -> None:
    """Send a request that no route matches."""
    put = context.deployment.put_in_force(
        'name = "hosts"\n[[class]]\nname = "dealer"\n[[route]]\n'
        f'service = "{DEALER}"\nhost = "dealer-desk"\nclass = "dealer"\n',
    )
    assert put.popen.returncode == 0, put.text()
    send(context, number, 'GET', path, Host='elsewhere').wait()
    again = context.deployment.put_in_force(
        'name = "any"\n[[class]]\nname = "dealer"\n[[route]]\n'
        f'service = "{DEALER}"\nclass = "dealer"\n',
    )
    assert again.popen.returncode == 0, again.text()


@when('the target of node {number:d} is killed')
def kill_target(context: Any, number: int) -> None:
    """End a target at once."""
    instance_of(context, number).target.kill()


@when('the target of node {number:d} cuts its answers off')
def truncate(context: Any, number: int) -> None:
    """Let a target close in the middle of its answers."""
    instance_of(context, number).control_target(truncate=True)


@when('random bytes are sent to every port of node {number:d}')
def random_bytes(context: Any, number: int) -> None:
    """Send bytes that are no protocol to a node."""
    entry = instance_of(context, number)
    source = random.Random(7)
    for port in (
        entry.caller_port,
        entry.admin_port,
        entry.peer_port,
        entry.control_port,
    ):
        for _ in range(20):
            with socket.create_connection(('127.0.0.1', port)) as connection:
                with contextlib.suppress(OSError):
                    connection.sendall(source.randbytes(RANDOM_BYTES))
    frames = (
        b'\x93\x01\x02\x03',
        b'\x92\x07\xa1x',
        b'\x9b\x01' + b'\xc0' * 10,
        b'\x92\x06\xc0',
    )
    for frame in frames:
        with socket.create_connection(('127.0.0.1', entry.peer_port)) as connection:
            connection.sendall(frame * 3)
            time.sleep(0.05)


@when('a caller allows {limit_ms:d} ms for GET "{path}" at node {number:d}')
def get_with_deadline(context: Any, limit_ms: int, path: str, number: int) -> None:
    """Send a request with a deadline."""
    send(context, number, 'GET', path, X_Deadline_Ms=str(limit_ms)).wait()


@then('the target was told of at most {limit_ms:d} ms')
def told_deadline(context: Any, limit_ms: int) -> None:
    """Check the deadline that arrived."""
    told = int(context.sent.wait().document()['deadline_ms'])
    assert 0 < told <= limit_ms, told


@when('a large file and {count:d} stock checks go over the same link together')
def file_and_checks(context: Any, count: int) -> None:
    """Send a large request and small ones beside it."""
    entry = instance_of(context, 1)
    headers = {'X-Reply-Size': str(FILE_BYTES)}
    context.file = Sent(entry, 'GET', '/file', headers, b'')
    time.sleep(0.1)
    context.checks = [Sent(entry, 'GET', '/stock', {}, b'') for _ in range(count)]


@then('every stock check ends before the file')
def checks_first(context: Any) -> None:
    """Check that the small ones were not held up."""
    slowest = 0.0
    for check in context.checks:
        assert check.wait().status == 200
        slowest = max(slowest, check.elapsed_s)
    assert len(context.file.wait().body) == FILE_BYTES
    assert slowest + 0.1 < context.file.elapsed_s, (slowest, context.file.elapsed_s)
