"""Selects the readers of the platform's log that the settings ask for.

:errors: ``ConfigurationError`` if the log adapter does not support them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavendermount_core.config.findings import Finding
from lavendermount_core.config.node import KEYED, STREAM, NodeSchema
from lavendermount_core.exceptions import ConfigurationError
from lavendermount_core.log.adapter import KeyedLog, LogAdapter
from lavendermountd.membership.evacuations import EvacuationTable
from lavendermountd.membership.gossip import Gossip
from lavendermountd.membership.joining import Joiner
from lavendermountd.membership.keyed_joining import KeyedJoiner
from lavendermountd.membership.table import MemberTable
from lavendermountd.presets.check_pace import NearbyMembers
from lavendermountd.presets.decoders import preset_decoders
from lavendermountd.presets.follower import PresetFollower
from lavendermountd.presets.holder import PresetHolder
from lavendermountd.presets.keyed_follower import KeyedPresetFollower
from lavendermountd.presets.other_regions import OtherRegions
from lavendermountd.presets.peer_start import start_from_peers
from lavendermountd.presets.reader_selection import ReaderRole

if TYPE_CHECKING:
    from lavendermountd.node import Node


def build_joiner(
    settings: NodeSchema,
    gossip: Gossip,
    platform_log: LogAdapter,
) -> Joiner | KeyedJoiner:
    """Build the joiner, which finds the first peers."""
    membership = settings.membership
    if membership.directory == KEYED:
        return KeyedJoiner(gossip, _require_keyed_log(platform_log), membership.stream)
    return Joiner(gossip, platform_log, membership.seeds, settings.log.retention_s)


def build_follower(
    settings: NodeSchema,
    platform_log: LogAdapter,
    holder: PresetHolder,
    evacuations: EvacuationTable,
    table: MemberTable,
) -> PresetFollower | KeyedPresetFollower:
    """Build the follower of the preset in force."""
    options = settings.presets
    if options.source == STREAM:
        return PresetFollower(platform_log, holder)
    follower = KeyedPresetFollower(
        _require_keyed_log(platform_log),
        holder,
        options.stream,
        options.key,
        preset_decoders.find(options.decoder),
        evacuations,
    )
    schedule = follower.reachability.schedule
    if options.readers_per_zone:
        role = ReaderRole(table, holder, options.readers_per_zone)
        schedule.is_reader = role.is_reader
        role.is_lost = follower.reachability.check_pace.is_lost
        schedule.is_standby = role.is_standby
        schedule.is_sentinel = role.is_sentinel
        schedule.has_sentinel = True
        schedule.reader_count = role.reader_count
    return follower


def connect_follower(node: Node) -> None:
    """Let the follower of a node learn from other nodes, and of their loss."""
    schedule = node.follower.reachability.schedule
    schedule.region_size = node.gossip.region_size
    pace = node.follower.reachability.check_pace
    nearby = NearbyMembers(pace, node.table, node.gossip.region_size)
    node.gossip.on_unanswered = nearby.note_unanswered
    node.links.backoff.on_failure = nearby.note_unanswered
    node.gossip.exchange.on_log_state = nearby.note_answer
    node.gossip.exchange.is_log_silent = node.follower.reachability.reports_silence
    start_from_peers(node)
    if isinstance(node.follower, KeyedPresetFollower):
        other_regions = OtherRegions(node.table, node.catch_up)
        node.follower.ask_other_regions = other_regions.ask


def _require_keyed_log(platform_log: LogAdapter) -> KeyedLog:
    if isinstance(platform_log, KeyedLog):
        return platform_log
    finding = Finding(
        'log.adapter',
        'must support keyed streams, because membership.directory or presets.source '
        "is 'keyed'",
    )
    raise ConfigurationError([finding])
