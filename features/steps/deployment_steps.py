"""Steps that start a deployment, inject faults into it and remove them."""

from __future__ import annotations

import time
from typing import Any

from behave import given, step, then, when
from builders import DEALER, DOCS, DeploymentBuilder, preset_text

from lavendermount_testbed.processes import wait_until

PROPAGATION_LIMIT_S = 13.0


def instance_of(context: Any, number: int) -> Any:
    """Return an instance by its number, counted from 1."""
    return list(context.deployment.instances.values())[number - 1]


def start_deployment(context: Any, builder: DeploymentBuilder) -> None:
    """Start a deployment with the preset ``ordinary`` in force."""
    context.deployment = builder.build()
    context.deployment.start_all()
    process = context.deployment.publish_and_switch(preset_text())
    assert process.popen.returncode == 0, process.read_output()
    context.deployment.wait_ready()
    context.deployment.wait_for_members()


def status_of(context: Any, instance: Any) -> dict[str, Any]:
    """Query the status of a node through the command line."""
    return context.deployment.fetch_status(instance)


def alive_members(context: Any, instance: Any) -> list[dict[str, Any]]:
    """List the members with a target that a node considers alive."""
    return context.deployment.alive_members(instance)


@given('a deployment of {count:d} nodes')
def deploy(context: Any, count: int) -> None:
    """Start nodes of one service in one region."""
    start_deployment(context, DeploymentBuilder().with_nodes(count))


@given('a deployment of {count:d} nodes with targets that take {service_ms:d} ms')
def deploy_with_service_time(context: Any, count: int, service_ms: int) -> None:
    """Start nodes whose targets have a given service time."""
    builder = DeploymentBuilder().with_nodes(count)
    builder.target_profile.service_ms = service_ms
    start_deployment(context, builder)


@given('a deployment of two regions with {count:d} nodes each')
def deploy_two_regions(context: Any, count: int) -> None:
    """Start nodes of one service in two regions joined by a link."""
    builder = DeploymentBuilder()
    builder.with_nodes(count, 'north').with_nodes(count, 'south')
    start_deployment(context, builder)


@given('a caller node in the north and the only dealer target in the south')
def deploy_across_regions(context: Any) -> None:
    """Start the caller's node in one region and the called service in the other."""
    builder = DeploymentBuilder()
    builder.with_nodes(1, 'north', DOCS).with_nodes(1, 'south', DEALER)
    start_deployment(context, builder)


@given('a deployment of {count:d} nodes where the log keeps records for {seconds:d} s')
def deploy_with_retention(context: Any, count: int, seconds: int) -> None:
    """Start nodes on a log that evicts records after a short time."""
    builder = DeploymentBuilder().with_nodes(count)
    builder.settings.retention_s = seconds
    context.deployment = builder.build()
    context.deployment.control_log(retention_s=seconds)
    context.deployment.start_all()
    process = context.deployment.publish_and_switch(preset_text())
    assert process.popen.returncode == 0, process.read_output()
    context.deployment.wait_ready()
    context.deployment.wait_for_members()


@step('preset "{name}" is put in force')
def put_in_force(context: Any, name: str) -> None:
    """Publish a preset and switch to it; both must be accepted."""
    process = context.deployment.publish_and_switch(preset_text(name))
    assert process.popen.returncode == 0, process.read_output()


@when('the log is down')
def start_log_outage(context: Any) -> None:
    """Start an outage of the log."""
    context.deployment.control_log(outage=True)


@when('the log is up again')
def end_log_outage(context: Any) -> None:
    """End an outage of the log."""
    context.deployment.control_log(outage=False)


@when('the log is slow')
def delay_log_responses(context: Any) -> None:
    """Delay every response of the log beyond the timeout of the nodes."""
    context.deployment.control_log(slow_ms=1500)


@when('the log responds without delay again')
def remove_log_delay(context: Any) -> None:
    """Remove the delay of the log's responses."""
    context.deployment.control_log(slow_ms=0)


@when('the log drops the responses to the next {count:d} appends')
def drop_append_responses(context: Any, count: int) -> None:
    """Let appends take effect, but answer them with status 503."""
    context.deployment.control_log(lose_answers=count)


@when('a copy of the log is taken')
def copy_log(context: Any) -> None:
    """Keep a copy of all streams of the log."""
    context.deployment.control_log(copy=True)


@when('the log comes back from the copy')
def restore_log(context: Any) -> None:
    """Lose what was appended since the copy; the era rises."""
    context.deployment.control_log(restore=True)


@when('every node is killed at once')
def kill_all_nodes(context: Any) -> None:
    """Kill the process of each node."""
    for instance in context.deployment.instances.values():
        instance.node.popen.kill()
    for killed in context.deployment.instances.values():
        killed.node.popen.wait()


@when('every node is started again')
def start_all_nodes(context: Any) -> None:
    """Start the process of each node, and its target anew."""
    for number in range(1, len(context.deployment.instances) + 1):
        restart_node(context, number)


@when('the link to the {region} is cut')
def cut_link(context: Any, region: str) -> None:
    """Reset the open connections into a region, and new ones when they are accepted."""
    context.deployment.control_link(region, is_cut=True)


@when('the link to the {region} is restored')
def restore_link(context: Any, region: str) -> None:
    """Allow connections into a region again."""
    context.deployment.control_link(region, is_cut=False, is_silent=False)


@when('all links between the regions are cut')
def cut_all_links(context: Any) -> None:
    """Reset the open connections between regions, and new ones when accepted."""
    for region in context.deployment.relays:
        context.deployment.control_link(region, is_cut=True)


@when('all links between the regions are restored')
def restore_all_links(context: Any) -> None:
    """Allow connections between regions again."""
    for region in context.deployment.relays:
        context.deployment.control_link(region, is_cut=False)


@when('node {number:d} is suspended')
def suspend_node(context: Any, number: int) -> None:
    """Suspend the process of a node with SIGSTOP, which it cannot catch."""
    instance_of(context, number).node.freeze()


@when('node {number:d} is resumed')
def resume_node(context: Any, number: int) -> None:
    """Resume the suspended process of a node."""
    instance_of(context, number).node.resume()


@when('node {number:d} is killed')
def kill_node(context: Any, number: int) -> None:
    """Kill the process of a node."""
    instance_of(context, number).node.kill()


@when('node {number:d} is restarted')
def restart_node(context: Any, number: int) -> None:
    """Restart a node and its target."""
    instance = instance_of(context, number)
    instance.target.kill()
    instance.node.restart()
    instance.target.restart()


@when('{seconds:g} s pass')
def wait_seconds(context: Any, seconds: float) -> None:
    """Wait, so that an unwanted effect could show or records can age."""
    time.sleep(seconds)


@then('preset "{name}" is in force on all running nodes')
def preset_in_force_everywhere(context: Any, name: str) -> None:
    """Check that each running node has the preset within the propagation limit."""
    for instance in context.deployment.instances.values():
        if not instance.node.is_running:
            continue
        wait_until(
            lambda instance=instance: (
                status_of(context, instance).get('preset') == name
            ),
            f'{name} is in force on {instance.name}',
            PROPAGATION_LIMIT_S,
        )


@then('node {number:d} has preset "{name}" in force')
def preset_in_force_on_node(context: Any, number: int, name: str) -> None:
    """Check that one node has the preset within the propagation limit."""
    instance = instance_of(context, number)
    wait_until(
        lambda: status_of(context, instance).get('preset') == name,
        f'{name} is in force on {instance.name}',
        PROPAGATION_LIMIT_S,
    )


@then('node {number:d} reports no preset other than "{name}" for {seconds:g} s')
def reports_no_other_preset(
    context: Any, number: int, name: str, seconds: float
) -> None:
    """Poll the preset of one node; it may also report none."""
    instance = instance_of(context, number)
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        reported = status_of(context, instance).get('preset')
        assert reported in {name, ''}, reported
