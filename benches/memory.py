"""Peak memory of a node under large uploads and replies without end.

:shapes: one line for each case, with the peaks of the nodes in the order of the callers'
    node and the target's node, if that is another one.
:units: MB of 2**20 bytes.
"""

from __future__ import annotations

import socket
import sys
import threading
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from lavendermount_testbed.caller import CallerError
from lavendermount_testbed.deployment import (
    Deployment,
    DeploymentSettings,
    Instance,
    Placement,
    TargetProfile,
)
from lavendermount_testbed.processes import wait_until

MB = 1048576
UPLOAD_BYTES = 64 * MB
BUDGET_BYTES = 160 * MB
UPLOAD_COUNTS = (2, 8, 32)
ENDLESS_COUNTS = (4, 16)
PART = b'x' * 65536
PRESET = f"""name = "{{name}}"
[limits]
body_bytes = {UPLOAD_BYTES}
[[class]]
name = "only"
deadline_ms = 20000
[[route]]
service = "desk"
class = "only"
"""


def build(services: tuple[str, ...]) -> Deployment:
    """Start a node for each service."""
    settings = DeploymentSettings()
    settings.body_memory_bytes = BUDGET_BYTES
    deployment = Deployment(settings, TargetProfile(16, 200))
    for number, service in enumerate(services):
        deployment.add(f'node-{number}', Placement(service, 'north', 'a'))
    deployment.start_all()
    deployment.publish_and_switch(PRESET.replace('{name}', 'only'))
    deployment.wait_ready()
    deployment.wait_for_members()
    return deployment


def call_at_once(instance: Instance, count: int, body: bytes) -> Counter[object]:
    """Send requests at the same time; return how often each status came."""
    statuses: Counter[object] = Counter()

    def call() -> None:
        try:
            statuses[instance.call('POST', '/order', {}, body).status] += 1
        except CallerError as error:
            statuses[str(error)] += 1

    threads = [threading.Thread(target=call) for _ in range(count)]
    for thread in threads:
        thread.start()
    for started in threads:
        started.join()
    return statuses


def peaks(deployment: Deployment) -> str:
    """Return the peak of the resident memory of each node."""
    texts = []
    for instance in deployment.instances.values():
        status = Path(f'/proc/{instance.node.popen.pid}/status').read_text()
        kib = int(status.partition('VmHWM:')[2].split()[0])
        texts.append(f'{kib / 1024:.0f}')
    return ','.join(texts)


def report(name: str, count: int, deployment: Deployment, statuses: object) -> None:
    """Print the line of one case."""
    started = sum(
        instance.node.read_output().count('event=node-started')
        for instance in deployment.instances.values()
    )
    print(
        f'case={name} at_once={count} peak_mb={peaks(deployment)} starts={started} '
        f'statuses={statuses}',
    )


def measure_uploads(name: str, services: tuple[str, ...]) -> None:
    """Measure uploads to a target beside the node, or at another node."""
    for count in UPLOAD_COUNTS:
        deployment = build(services)
        try:
            caller_node = next(iter(deployment.instances.values()))
            statuses = call_at_once(caller_node, count, b'u' * UPLOAD_BYTES)
            report(name, count, deployment, dict(statuses))
        finally:
            deployment.close()


def answer_endlessly(listener: socket.socket) -> None:
    """Answer each connection with a reply that never ends."""
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        threading.Thread(target=send_endlessly, args=(connection,), daemon=True).start()


def send_endlessly(connection: socket.socket) -> None:
    """Send a reply until the connection closes."""
    with connection, suppress(OSError):
        if not connection.recv(65536):
            return
        connection.sendall(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
        while connection.fileno() >= 0:
            connection.sendall(b'%x\r\n%b\r\n' % (len(PART), PART))


def measure_endless(count: int) -> None:
    """Measure replies without end that are read at the same time."""
    deployment = build(('desk',))
    try:
        instance = next(iter(deployment.instances.values()))
        instance.target.kill()
        listener = socket.create_server(('127.0.0.1', instance.target_port))
        threading.Thread(target=answer_endlessly, args=(listener,), daemon=True).start()
        time.sleep(1)
        wait_until(instance.is_ready, 'the node is ready')
        report('endless', count, deployment, dict(call_at_once(instance, count, b'x')))
        listener.close()
    finally:
        deployment.close()


if __name__ == '__main__':
    print(f'upload_mb={UPLOAD_BYTES // MB} budget_mb={BUDGET_BYTES // MB}')
    measure_uploads('local', ('desk',))
    measure_uploads('other-node', ('docs', 'desk'))
    for endless_count in ENDLESS_COUNTS:
        measure_endless(endless_count)
