"""Replay of recorded decisions from their inputs.

:shapes: a difference is a finding whose location names request and attempt.
"""

from __future__ import annotations

from lavendermount_core.config.findings import Finding
from lavendermount_core.config.preset import PresetSchema, parse_preset
from lavendermount_core.exceptions import ConfigurationError, RecordError
from lavendermount_core.replay.records import DecisionRecord
from lavendermount_core.routing.policies import decide
from lavendermount_core.routing.tuning import tuning_from

MALFORMED_INPUT_ERRORS = (RecordError, LookupError, TypeError, ValueError)


class ReplayReport:
    """Result of a replay.

    :param replayed: number of replayed decisions.
    :param dropped: number of decisions that nodes dropped before storing them.
    :param unjudged: number of decisions whose policy was not checked, since
        the log no longer holds a valid preset of their revision.
    :param losses: places where the log lost decisions because it came back from
        an older copy.
    :param differences: differences between record and replay.
    """

    __slots__ = ('replayed', 'dropped', 'unjudged', 'losses', 'differences')

    def __init__(self) -> None:
        """Start with all counts at zero."""
        self.replayed = 0
        self.dropped = 0
        self.unjudged = 0
        self.losses: list[Finding] = []
        self.differences: list[Finding] = []


class Replay:
    """Replays decisions and checks them against the presets of their time.

    :param preset_sources: TOML source of each known revision.
    """

    def __init__(self, preset_sources: dict[int, str]) -> None:
        """Start without parsed presets."""
        self.preset_sources = preset_sources
        self.schemas: dict[int, PresetSchema | None] = {}
        self.report = ReplayReport()

    def check(self, recorded: DecisionRecord) -> None:
        """Replay one decision and add the differences to the report."""
        self.report.replayed += 1
        location = f'request {recorded.request_id} attempt {recorded.attempt}'
        messages = [*self.check_policy(recorded), *_check_decision(recorded)]
        findings = [Finding(location, message) for message in messages]
        self.report.differences.extend(findings)

    def check_policy(self, recorded: DecisionRecord) -> list[str]:
        """Compare policy and tuning of a decision with the preset of its revision."""
        schema = self.schema(recorded.revision)
        if schema is None:
            self.report.unjudged += 1
            return []
        if schema.choosing.policy != recorded.policy:
            return [f'policy {recorded.policy} differs from that of the preset']
        if tuning_from(schema).to_row() != recorded.tuning:
            return ['tuning differs from that of the preset']
        return []

    def schema(self, revision: int) -> PresetSchema | None:
        """Return the cached preset of a revision; parse it on first use."""
        if revision not in self.schemas:
            self.schemas[revision] = self.parse(revision)
        return self.schemas[revision]

    def parse(self, revision: int) -> PresetSchema | None:
        """Parse the preset of a revision; ``None`` if unknown or invalid."""
        source = self.preset_sources.get(revision)
        if source is None:
            return None
        try:
            return parse_preset(source, f'revision {revision}')
        except ConfigurationError:
            return None


def _check_decision(recorded: DecisionRecord) -> list[str]:
    try:
        replayed = decide(recorded.to_inputs())
    except MALFORMED_INPUT_ERRORS as error:
        return [f'the inputs are malformed: {error}']
    if replayed.chosen != recorded.chosen:
        return [f'chose {recorded.chosen!r}, replay chose {replayed.chosen!r}']
    if replayed != recorded.to_decision():
        return ['replayed scores differ from the recorded ones']
    return []
