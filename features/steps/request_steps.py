"""Steps that send requests and look at the answers."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterable
from typing import Any

from behave import then, when
from deployment_steps import instance_of

from lavendermount_testbed.caller import CallerError

ANSWER_LIMIT_S = 20.0


class Sent:
    """A request sent in a thread of its own."""

    def __init__(
        self, entry: Any, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Send it now."""
        self.received: Any = None
        self.error: Exception | None = None
        self.elapsed_s = 0.0
        self.arguments = (entry, method, path, headers, body)
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        """Send and wait."""
        entry, *rest = self.arguments
        begun = time.monotonic()
        try:
            self.received = entry.call(*rest)
        except CallerError as error:
            self.error = error
        self.elapsed_s = time.monotonic() - begun

    def wait(self) -> Any:
        """Wait for the answer."""
        self.thread.join(ANSWER_LIMIT_S)
        assert self.received is not None, f'no whole answer: {self.error}'
        return self.received


def send(
    context: Any,
    number: int,
    method: str = 'GET',
    path: str = '/stock',
    body: bytes = b'',
    **headers: str,
) -> Sent:
    """Send a request to a node and keep it as the latest."""
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    run_id = f'run-{time.monotonic_ns()}'
    named.setdefault('X-Run-Id', run_id)
    context.run_id = named['X-Run-Id']
    context.sent = Sent(instance_of(context, number), method, path, named, body)
    return context.sent


def attempts_logged(entries: Iterable[Any]) -> str:
    """Find what nodes logged of the attempts, to tell why a check failed.

    :param entries: instances whose nodes sent or ran them.
    """
    lines = [line for entry in entries for line in entry.node.text().splitlines()]
    told = sorted(line for line in lines if 'event=attempt-' in line)
    return '\n'.join(['', *told])


def runs_of(context: Any, run_id: str) -> int:
    """Count how often a request ran at any target."""
    total = 0
    for entry in context.deployment.instances.values():
        if entry.target.is_running:
            total += entry.control_target()['ran'].get(run_id, 0)
    return total


@when('a caller sends GET "{path}" to node {number:d}')
def get(context: Any, path: str, number: int) -> None:
    """Send a request that may be repeated and wait for its answer."""
    send(context, number, 'GET', path).wait()


@when('a caller sends POST "{path}" with {size:d} bytes to node {number:d}')
def post(context: Any, path: str, size: int, number: int) -> None:
    """Send a request that may not be repeated and wait for its answer."""
    send(context, number, 'POST', path, b'x' * size).wait()


@when('a caller asks node {number:d} for {size:d} bytes')
def get_large(context: Any, number: int, size: int) -> None:
    """Ask for a large reply."""
    send(context, number, 'GET', '/file', X_Reply_Size=str(size)).wait()


@when('a caller starts POST "{path}" at node {number:d}')
def start_post(context: Any, path: str, number: int) -> None:
    """Send a request that may not be repeated without waiting."""
    send(context, number, 'POST', path, b'order')


@when('a caller starts GET "{path}" at node {number:d}')
def start_get(context: Any, path: str, number: int) -> None:
    """Send a request that may be repeated without waiting."""
    send(context, number, 'GET', path)


@when('the request runs at a target')
def wait_running(context: Any) -> None:
    """Wait until a target has begun the latest request."""
    until = time.monotonic() + ANSWER_LIMIT_S
    while not runs_of(context, context.run_id):
        assert time.monotonic() < until, 'the request never ran'


@when('a caller sends POST "{path}" with key "{key}" to node {number:d}')
def post_keyed(context: Any, path: str, key: str, number: int) -> None:
    """Send a request with an idempotency key and wait for its answer."""
    sent = send(
        context, number, 'POST', path, b'order', Idempotency_Key=key, X_Run_Id=key
    )
    sent.wait()


@when('a caller starts keyed POST "{path}" with key "{key}" at node {number:d}')
def start_keyed(context: Any, path: str, key: str, number: int) -> None:
    """Send a request with an idempotency key without waiting."""
    send(context, number, 'POST', path, b'order', Idempotency_Key=key, X_Run_Id=key)


@then('the answer is whole and its own')
def whole(context: Any) -> None:
    """Check status, length and that it answers this request."""
    received = context.sent.wait()
    assert received.status == 200, (received.status, received.body[:300])
    assert received.document()['run'] == context.run_id


@then('the answer has {size:d} bytes')
def has_size(context: Any, size: int) -> None:
    """Check the length of the body."""
    assert len(context.sent.wait().body) == size


@then('the target received {size:d} bytes')
def received_size(context: Any, size: int) -> None:
    """Check the length of the body that arrived."""
    assert context.sent.wait().document()['received'] == size


@then('the answer says "{outcome}" with status {status:d}')
def says(context: Any, outcome: str, status: int) -> None:
    """Check a problem document."""
    received = context.sent.wait()
    assert received.headers.get('X-Outcome') == outcome, received.headers
    assert received.status == status, received.status
    document = received.document()
    assert document['outcome'] == outcome
    assert received.headers['Content-Type'] == 'application/problem+json'


@then('the answer says "{outcome}"')
def says_outcome(context: Any, outcome: str) -> None:
    """Check the outcome told to the caller."""
    received = context.sent.wait()
    assert received.outcome == outcome, (received.outcome, received.body[:300])


@then('the answer says when to come back')
def says_when(context: Any) -> None:
    """Check Retry-After."""
    assert int(context.sent.wait().headers['Retry-After']) >= 1


@then('the answer took less than {seconds:g} s')
def took_less(context: Any, seconds: float) -> None:
    """Check that the answer was not held back."""
    context.sent.wait()
    assert context.sent.elapsed_s < seconds, context.sent.elapsed_s


@then('the request ran {count:d} times')
def ran(context: Any, count: int) -> None:
    """Check how often the latest request ran anywhere."""
    counted = runs_of(context, context.run_id)
    assert counted == count, counted


@then('the request ran at most once')
def ran_at_most_once(context: Any) -> None:
    """Check that the latest request did not run twice."""
    assert runs_of(context, context.run_id) <= 1
