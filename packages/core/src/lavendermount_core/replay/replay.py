"""Taking a recorded decision again from its inputs.

:shapes: differences are findings whose place names request and attempt.
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
    """What a replay found.

    :param replayed: decisions taken again.
    :param dropped: decisions that nodes lost before they could be stored.
    :param unjudged: decisions whose preset the log no longer tells.
    :param differences: what differs.
    """

    __slots__ = ('replayed', 'dropped', 'unjudged', 'differences')

    def __init__(self) -> None:
        """Start with nothing replayed."""
        self.replayed = 0
        self.dropped = 0
        self.unjudged = 0
        self.differences: list[Finding] = []


class Replay:
    """Replays decisions against the presets they were taken under.

    :param preset_sources: TOML source of each revision known.
    """

    def __init__(self, preset_sources: dict[int, str]) -> None:
        """Parse no preset yet."""
        self.preset_sources = preset_sources
        self.schemas: dict[int, PresetSchema | None] = {}
        self.report = ReplayReport()

    def check(self, recorded: DecisionRecord) -> None:
        """Take one decision again and note what differs."""
        self.report.replayed += 1
        place = f'request {recorded.request_id} attempt {recorded.attempt}'
        messages = [*self.check_policy(recorded), *_check_decision(recorded)]
        findings = [Finding(place, message) for message in messages]
        self.report.differences.extend(findings)

    def check_policy(self, recorded: DecisionRecord) -> list[str]:
        """Compare policy and tuning with the preset of the revision."""
        schema = self.schema(recorded.revision)
        if schema is None:
            self.report.unjudged += 1
            return []
        if schema.choosing.policy != recorded.policy:
            return [f'policy is {recorded.policy}, the preset says otherwise']
        if tuning_from(schema).to_row() != recorded.tuning:
            return ['tuning is not that of the preset']
        return []

    def schema(self, revision: int) -> PresetSchema | None:
        """Parse the preset of a revision once."""
        if revision not in self.schemas:
            self.schemas[revision] = self.parse(revision)
        return self.schemas[revision]

    def parse(self, revision: int) -> PresetSchema | None:
        """Parse the preset of a revision, if it is known and valid."""
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
        return ['scores differ']
    return []
