"""Steps that send requests and check the responses."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterable
from typing import Any

from behave import then, when
from deployment_steps import instance_of

from lavendermount_testbed.caller import CallerError

RESPONSE_TIMEOUT_S = 20.0


class SentRequest:
    """A request sent from a thread of its own."""

    def __init__(
        self,
        instance: Any,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Start the thread that sends the request."""
        self.received: Any = None
        self.error: Exception | None = None
        self.elapsed_s = 0.0
        self.arguments = (instance, method, path, headers, body)
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        """Send the request and wait for the response."""
        instance, *rest = self.arguments
        started_at = time.monotonic()
        try:
            self.received = instance.call(*rest)
        except CallerError as error:
            self.error = error
        self.elapsed_s = time.monotonic() - started_at

    def wait(self) -> Any:
        """Wait for the response; fail if there is no complete one."""
        self.thread.join(RESPONSE_TIMEOUT_S)
        assert self.received is not None, f'no complete response: {self.error}'
        return self.received


def send(
    context: Any,
    number: int,
    method: str = 'GET',
    path: str = '/stock',
    body: bytes = b'',
    **headers: str,
) -> SentRequest:
    """Send a request to a node and keep it in the context as the latest."""
    all_headers = {name.replace('_', '-'): text for name, text in headers.items()}
    run_id = f'run-{time.monotonic_ns()}'
    all_headers.setdefault('X-Run-Id', run_id)
    context.run_id = all_headers['X-Run-Id']
    context.sent = SentRequest(
        instance_of(context, number), method, path, all_headers, body
    )
    return context.sent


def attempts_logged(instances: Iterable[Any]) -> str:
    """Collect the log lines of nodes about attempts, for the message of a failed check.

    :param instances: instances whose nodes sent or ran the attempts.
    """
    lines = [
        line
        for instance in instances
        for line in instance.node.read_output().splitlines()
    ]
    selected = sorted(line for line in lines if 'event=attempt-' in line)
    return '\n'.join(['', *selected])


def runs_of(context: Any, run_id: str) -> int:
    """Count how often a request ran, on all targets that are running."""
    total = 0
    for instance in context.deployment.instances.values():
        if instance.target.is_running:
            total += instance.control_target()['ran'].get(run_id, 0)
    return total


@when('a caller sends GET "{path}" to node {number:d}')
def get(context: Any, path: str, number: int) -> None:
    """Send a repeatable request and wait for its response."""
    send(context, number, 'GET', path).wait()


@when('a caller sends POST "{path}" with {size:d} bytes to node {number:d}')
def post(context: Any, path: str, size: int, number: int) -> None:
    """Send a non-repeatable request and wait for its response."""
    send(context, number, 'POST', path, b'x' * size).wait()


@when('a caller asks node {number:d} for {size:d} bytes')
def get_large(context: Any, number: int, size: int) -> None:
    """Request a response of a given size."""
    send(context, number, 'GET', '/file', X_Reply_Size=str(size)).wait()


@when('a caller starts POST "{path}" at node {number:d}')
def start_post(context: Any, path: str, number: int) -> None:
    """Send a non-repeatable request without waiting for its response."""
    send(context, number, 'POST', path, b'order')


@when('a caller starts GET "{path}" at node {number:d}')
def start_get(context: Any, path: str, number: int) -> None:
    """Send a repeatable request without waiting for its response."""
    send(context, number, 'GET', path)


@when('the request runs at a target')
def wait_until_running(context: Any) -> None:
    """Wait until a target has started the latest request."""
    deadline = time.monotonic() + RESPONSE_TIMEOUT_S
    while not runs_of(context, context.run_id):
        assert time.monotonic() < deadline, 'the request did not run in time'


@when('a caller sends POST "{path}" with key "{key}" to node {number:d}')
def post_keyed(context: Any, path: str, key: str, number: int) -> None:
    """Send a request with an idempotency key and wait for its response."""
    sent = send(
        context, number, 'POST', path, b'order', Idempotency_Key=key, X_Run_Id=key
    )
    sent.wait()


@when('a caller starts keyed POST "{path}" with key "{key}" at node {number:d}')
def start_keyed(context: Any, path: str, key: str, number: int) -> None:
    """Send a request with an idempotency key without waiting for its response."""
    send(context, number, 'POST', path, b'order', Idempotency_Key=key, X_Run_Id=key)


@then('the response is complete and belongs to the request')
def response_is_complete(context: Any) -> None:
    """Check status and run identifier; a truncated response fails in ``wait``."""
    received = context.sent.wait()
    assert received.status == 200, (received.status, received.body[:300])
    assert received.parse_json()['run'] == context.run_id


@then('the response has {size:d} bytes')
def response_has_size(context: Any, size: int) -> None:
    """Check the length of the response body."""
    assert len(context.sent.wait().body) == size


@then('the target received {size:d} bytes')
def target_received_size(context: Any, size: int) -> None:
    """Check the length of the request body that the target received."""
    assert context.sent.wait().parse_json()['received'] == size


@then('the response has outcome "{outcome}" and status {status:d}')
def has_problem_document(context: Any, outcome: str, status: int) -> None:
    """Check outcome and status in the headers and the problem document."""
    received = context.sent.wait()
    assert received.headers.get('X-Outcome') == outcome, received.headers
    assert received.status == status, received.status
    document = received.parse_json()
    assert document['outcome'] == outcome
    assert received.headers['Content-Type'] == 'application/problem+json'


@then('the response has outcome "{outcome}"')
def has_outcome(context: Any, outcome: str) -> None:
    """Check the outcome that the caller received."""
    received = context.sent.wait()
    assert received.outcome == outcome, (received.outcome, received.body[:300])


@then('the response has a Retry-After header')
def has_retry_after(context: Any) -> None:
    """Check that Retry-After is at least one second."""
    assert int(context.sent.wait().headers['Retry-After']) >= 1


@then('the response took less than {seconds:g} s')
def took_less(context: Any, seconds: float) -> None:
    """Check the time until the response."""
    context.sent.wait()
    assert context.sent.elapsed_s < seconds, context.sent.elapsed_s


@then('the request ran {count:d} times')
def ran_times(context: Any, count: int) -> None:
    """Check how often the latest request ran on all targets together."""
    runs = runs_of(context, context.run_id)
    assert runs == count, runs


@then('the request ran at most once')
def ran_at_most_once(context: Any) -> None:
    """Check that the latest request did not run more than once."""
    assert runs_of(context, context.run_id) <= 1
