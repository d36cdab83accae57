"""Steps that start, break and heal a deployment."""

from __future__ import annotations

import time
from typing import Any

from behave import given, step, then, when
from builders import DEALER, DOCS, DeploymentBuilder, preset_text

from lavendermount_testbed.processes import wait_until

SPREAD_LIMIT_S = 13.0


def instance_of(context: Any, number: int) -> Any:
    """Find an instance by its number, from 1."""
    return list(context.deployment.instances.values())[number - 1]


def start(context: Any, builder: DeploymentBuilder) -> None:
    """Start a deployment with the ordinary preset in force."""
    context.deployment = builder.build()
    context.deployment.start_all()
    switched = context.deployment.put_in_force(preset_text())
    assert switched.popen.returncode == 0, switched.text()
    context.deployment.wait_ready()
    context.deployment.wait_for_members()


def status_of(context: Any, entry: Any) -> dict[str, Any]:
    """Ask a node for its status through the command line."""
    return context.deployment.status_of(entry)


def living(context: Any, entry: Any) -> list[dict[str, Any]]:
    """List the members with a target that a node believes to be alive."""
    return context.deployment.living(entry)


@given('a deployment of {count:d} nodes')
def deploy(context: Any, count: int) -> None:
    """Start nodes of one service in one region."""
    start(context, DeploymentBuilder().with_nodes(count))


@given('a deployment of {count:d} nodes with targets that take {service_ms:d} ms')
def deploy_slow(context: Any, count: int, service_ms: int) -> None:
    """Start nodes whose targets take their time."""
    builder = DeploymentBuilder().with_nodes(count)
    builder.shape.service_ms = service_ms
    start(context, builder)


@given('a deployment of two regions with {count:d} nodes each')
def deploy_regions(context: Any, count: int) -> None:
    """Start nodes of one service in two regions joined by a link."""
    builder = DeploymentBuilder()
    builder.with_nodes(count, 'north').with_nodes(count, 'south')
    start(context, builder)


@given('a dealer node in the north and its only target in the south')
def deploy_apart(context: Any) -> None:
    """Start a caller's node in one region and the service in the other."""
    builder = DeploymentBuilder()
    builder.with_nodes(1, 'north', DOCS).with_nodes(1, 'south', DEALER)
    start(context, builder)


@given('a deployment of {count:d} nodes where the log keeps records for {seconds:d} s')
def deploy_evicting(context: Any, count: int, seconds: int) -> None:
    """Start nodes on a log that evicts early."""
    builder = DeploymentBuilder().with_nodes(count)
    builder.settings.retention_s = seconds
    context.deployment = builder.build()
    context.deployment.control_log(retention_s=seconds)
    context.deployment.start_all()
    switched = context.deployment.put_in_force(preset_text())
    assert switched.popen.returncode == 0, switched.text()
    context.deployment.wait_ready()
    context.deployment.wait_for_members()


@step('preset "{name}" is put in force')
def put_in_force(context: Any, name: str) -> None:
    """Publish and switch, expecting acceptance."""
    switched = context.deployment.put_in_force(preset_text(name))
    assert switched.popen.returncode == 0, switched.text()


@when('the log is down')
def log_down(context: Any) -> None:
    """Begin an outage of the log."""
    context.deployment.control_log(outage=True)


@when('the log is up again')
def log_up(context: Any) -> None:
    """End an outage of the log."""
    context.deployment.control_log(outage=False)


@when('the log is slow')
def log_slow(context: Any) -> None:
    """Let every answer of the log take longer than the nodes wait."""
    context.deployment.control_log(slow_ms=1500)


@when('the log is quick again')
def log_quick(context: Any) -> None:
    """Let the log answer at once."""
    context.deployment.control_log(slow_ms=0)


@when('the log loses the answers of the next {count:d} appends')
def log_loses(context: Any, count: int) -> None:
    """Let appends take effect without an answer."""
    context.deployment.control_log(lose_answers=count)


@when('the link to the {region} is cut')
def cut(context: Any, region: str) -> None:
    """Break all connections into a region."""
    context.deployment.control_link(region, is_cut=True)


@when('the link to the {region} is whole again')
def heal(context: Any, region: str) -> None:
    """Let connections into a region through."""
    context.deployment.control_link(region, is_cut=False, is_silent=False)


@when('the links both ways are cut')
def cut_both(context: Any) -> None:
    """Break all connections between regions."""
    for region in context.deployment.relays:
        context.deployment.control_link(region, is_cut=True)


@when('the links both ways are whole again')
def heal_both(context: Any) -> None:
    """Let connections between regions through."""
    for region in context.deployment.relays:
        context.deployment.control_link(region, is_cut=False)


@when('node {number:d} is frozen')
def freeze(context: Any, number: int) -> None:
    """Stop a node from running, unaware."""
    instance_of(context, number).node.freeze()


@when('node {number:d} runs again')
def resume(context: Any, number: int) -> None:
    """Resume a frozen node."""
    instance_of(context, number).node.resume()


@when('node {number:d} is killed')
def kill(context: Any, number: int) -> None:
    """End a node at once."""
    instance_of(context, number).node.kill()


@when('node {number:d} is started again')
def start_again(context: Any, number: int) -> None:
    """Start a node and its target anew."""
    entry = instance_of(context, number)
    entry.target.kill()
    entry.node.restart()
    entry.target.restart()


@when('{seconds:g} s pass')
def pass_time(context: Any, seconds: float) -> None:
    """Wait for something that must not happen, or for records to age."""
    time.sleep(seconds)


@then('preset "{name}" is in force on all running nodes')
def in_force(context: Any, name: str) -> None:
    """Check the preset of each node within the stated limit."""
    for entry in context.deployment.instances.values():
        if not entry.node.is_running:
            continue
        wait_until(
            lambda entry=entry: status_of(context, entry).get('preset') == name,
            f'{name} is in force on {entry.name}',
            SPREAD_LIMIT_S,
        )


@then('node {number:d} has preset "{name}" in force')
def in_force_on(context: Any, number: int, name: str) -> None:
    """Check the preset of one node within the stated limit."""
    entry = instance_of(context, number)
    wait_until(
        lambda: status_of(context, entry).get('preset') == name,
        f'{name} is in force on {entry.name}',
        SPREAD_LIMIT_S,
    )


@then('node {number:d} never shows a preset other than "{name}" for {seconds:g} s')
def never_other(context: Any, number: int, name: str, seconds: float) -> None:
    """Watch the preset of one node."""
    entry = instance_of(context, number)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        shown = status_of(context, entry).get('preset')
        assert shown in {name, ''}, shown
