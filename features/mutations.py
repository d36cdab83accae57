"""Mutation tests: removes one mechanism at a time and expects a scenario to fail.

:shapes: prints a line ``mutation= red= scenario=`` for each mutation; changes only
    a copy of the sources.
:errors: exit code 1 if a scenario passes without its mechanism.

Usage: ``python features/mutations.py [NAME ...]``.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

NODE = 'packages/node/src/lavendermountd'
CORE = 'packages/core/src/lavendermount_core'
CLIENT = 'packages/client/src/lavendermount'
PACKAGES = ('core', 'node', 'client', 'testbed')
SCENARIO_TIMEOUT_S = 180


class Mutation:
    """One change of the sources that removes a mechanism.

    :param name: name of the mutation.
    :param path: file that is changed.
    :param old: text that occurs exactly once in the file.
    :param new: text that replaces it.
    :param feature: name of the feature file, without its suffix.
    :param scenario: scenario that must fail.
    """

    __slots__ = ('name', 'path', 'old', 'new', 'feature', 'scenario')

    def __init__(
        self, name: str, path: str, old: str, new: str, feature: str, scenario: str
    ) -> None:
        """Initialize the fields."""
        self.name = name
        self.path = path
        self.old = old
        self.new = new
        self.feature = feature
        self.scenario = scenario


MUTATIONS = (
    Mutation(
        'refused-pause',
        f'{NODE}/presets/catchup.py',
        'return refused.age_s > REFUSED_PAUSE_S',
        'return True',
        'presets',
        'A preset of a peer that is refused is not fetched again and again',
    ),
    Mutation(
        'long-lookup',
        f'{NODE}/gate/gate.py',
        'if incarnation != self.identity.incarnation:',
        'if age_ms > MAX_LOOKUP_AGE_MS or incarnation != self.identity.incarnation:',
        'at_most_once',
        'An order that runs for more than a minute is not given up when the link to its'
        ' target node is lost',
    ),
    Mutation(
        'silence-limit',
        f'{CORE}/log/transfer.py',
        'limit.extend()',
        'continue',
        'presets',
        'A read of the log may take long, but the log must not be silent meanwhile',
    ),
    Mutation(
        'preset-parts',
        f'{NODE}/presets/parts.py',
        'PART_BYTES = 32768',
        'PART_BYTES = 262144',
        'presets',
        'A large preset arrives from a peer over a slow link, although it takes longer'
        ' than one call may',
    ),
    Mutation(
        'log-position',
        f'{NODE}/presets/keyed_follower.py',
        'self.offset = max(self.offset, position)',
        'return',
        'presets',
        'A preset that was fetched from a peer is not read from the log again',
    ),
    Mutation(
        'start-from-peer',
        f'{NODE}/presets/keyed_follower.py',
        'self.offset = self.peer_position\n',
        'return\n',
        'presets',
        'Nodes that start at the same time do not each read the whole preset from the log',
    ),
    Mutation(
        'reader-role',
        f'{NODE}/presets/check_pace.py',
        'min(left_s / factor, longest_s, ROLE_CHECK_INTERVAL_S)',
        'min(left_s / factor, longest_s)',
        'presets',
        'A node that replaces a reader that died waits at the log soon',
    ),
    Mutation(
        'lost-readers',
        f'{NODE}/presets/check_pace.py',
        'HURRY_FACTOR: Final = 7',
        'HURRY_FACTOR: Final = 1',
        'presets',
        'A change is noticed soon although all readers of the region died just before it',
    ),
    Mutation(
        'sentinel',
        f'{NODE}/presets/poll_schedule.py',
        'SENTINEL_INTERVAL_S if self.is_sentinel() else math.inf',
        'math.inf',
        'spreading',
        'A preset is in force in time though the nodes that tell of news lose the log'
        ' and nothing else',
    ),
    Mutation(
        'silent-log',
        f'{NODE}/presets/reachability.py',
        '            self.on_silence()',
        '            pass',
        'presets',
        'Readers that lose the log alone are noticed by a node that checks it at short'
        ' intervals',
    ),
    Mutation(
        'shared-connection',
        f'{NODE}/peer/link_pool.py',
        '        opening = self.opening.get(key)\n',
        '        opening = None\n',
        'links',
        'Requests to a node out of reach do not wait for one connection attempt each',
    ),
    Mutation(
        'silent-node',
        f'{NODE}/peer/reconnector.py',
        '            await link.check()\n',
        '',
        'links',
        'Requests are not sent to a node that stays silent, and again once it responds',
    ),
    Mutation(
        'suspicions-at-start',
        f'{NODE}/membership/exchange.py',
        'answer.has_all_suspicions = self.has_all_suspicions',
        'answer.has_all_suspicions = True',
        'at_most_once',
        'A node that starts learns which requests are refused before it serves callers',
    ),
    Mutation(
        'suspicion-turns',
        f'{NODE}/gate/suspicion_rotation.py',
        '            self.order[sent] = None\n',
        '            self.order = {sent: None, **self.order}\n',
        'at_most_once',
        'Suspicions of a crash under load do not keep that of a crashing request from'
        ' other nodes',
    ),
    Mutation(
        'caller-of-suspect',
        f'{NODE}/gate/suspects.py',
        '    if request.caller:\n',
        '    if not request.caller:\n',
        'at_most_once',
        'Replies to an equal request of another caller do not clear one that crashes its'
        ' targets',
    ),
    Mutation(
        'undefined-status',
        f'{NODE}/peer/link.py',
        '    if not is_final_status(frame.status):\n',
        '    if False:\n',
        'replies',
        'A reply from another node whose status HTTP does not define is not handed on',
    ),
    Mutation(
        'interim-body',
        f'{NODE}/http1/reply_parser.py',
        '            self.check_interim()\n',
        '',
        'replies',
        'Interim replies are skipped, and a body behind one makes the reply malformed',
    ),
    Mutation(
        'member-address',
        f'{CORE}/models/members.py',
        'if not member.node_id or not is_ip_address(member.host):',
        'if False:',
        'malformed_input',
        'A member record that fits into no message, or names no address, is rejected',
    ),
    Mutation(
        'head-bytes',
        f'{NODE}/http1/request_parser.py',
        'if self.is_reading_head and self.head_count == head_number:',
        'if True:',
        'connections',
        'A head that arrives in two parts adds no answer to the one of its request',
    ),
    Mutation(
        'no-second-answer',
        f'{NODE}/http1/request_parser.py',
        '        if self.is_between_messages:\n            return\n',
        '',
        'connections',
        'A request that asks to close the connection gets no second answer',
    ),
    Mutation(
        'pipeline-at-stop',
        f'{NODE}/caller/connection_state.py',
        'if self.service.is_stopping and self.exchanges:',
        'if False:',
        'connections',
        'A stopping node ends the connection of a caller that always has requests in progress',
    ),
    Mutation(
        'idle-while-answering',
        f'{NODE}/caller/connection_state.py',
        'if self.exchanges and self.parser.is_between_messages:',
        'if False:',
        'connections',
        'A request that outlasts the idle timeout is answered, and its connection stays open',
    ),
    Mutation(
        'upgrade',
        f'{NODE}/http1/request_parser.py',
        'if self.offers_upgrade:',
        'if False:',
        'connections',
        'A request that offers an upgrade runs with its whole body, and is answered once',
    ),
    Mutation(
        'late-in-a-stop',
        f'{NODE}/stop_schedule.py',
        'if received_at < self.listens_until or deadline <= self.ends_at:',
        'if True:',
        'connections',
        'A stopping node passes on no late request whose deadline is after its end',
    ),
    Mutation(
        'queued-at-a-stop',
        f'{NODE}/shutdown.py',
        'self.node.router.abandon_late()',
        'self.node.router.retry_budget',
        'leaving',
        'Orders that come late in the grace period of a planned stop are never cut',
    ),
    Mutation(
        'budget',
        f'{NODE}/membership/exchange.py',
        'if token_bucket.tokens <= 0:',
        'if False:',
        'bad_targets',
        'A node with an exhausted traffic budget sends shorter gossip rounds',
    ),
    Mutation(
        'whole',
        f'{NODE}/http1/reply_parser.py',
        'if self.is_close_delimited:',
        'if not self.is_between_messages:',
        'whole_path',
        'A truncated response is never forwarded',
    ),
    Mutation(
        'bury',
        f'{NODE}/gate/attempt_table.py',
        '        self.ended[attempt_id] = now\n        self.outcomes',
        '        self.outcomes',
        'at_most_once',
        'An attempt whose outcome was queried before it arrived never runs',
    ),
    Mutation(
        'claims',
        f'{NODE}/claims/claims.py',
        'if request.call_class.is_repeatable:',
        'if True:',
        'at_most_once',
        'The same idempotency key sent to several nodes runs once',
    ),
    Mutation(
        'claim-order',
        f'{NODE}/claims/stream.py',
        'if winner is not None and winner.claim_id != claim.supersedes:',
        'if False:',
        'at_most_once',
        'Claims agree with a naive implementation on generated streams',
    ),
    Mutation(
        'drain',
        f'{NODE}/gate/gate.py',
        'if self.queue.is_closed or self.target.state == TargetState.DRAINING:',
        'if False:',
        'leaving',
        'A gate refuses requests for a draining target before other nodes know',
    ),
    Mutation(
        'drain-told',
        f'{NODE}/gate/target_lifecycle.py',
        """        self.gate.target.state = TargetState.DRAINING
        self.gate.queue.refuse_waiting()
        self.table.change_own(self.gate.target.service, MemberStatus.LEAVING)
""",
        '',
        'leaving',
        'A target that announces draining receives no new requests',
    ),
    Mutation(
        'stop',
        f'{NODE}/shutdown.py',
        'while self.has_work() and',
        'while False and',
        'leaving',
        'A node finishes the requests in flight before it shuts down',
    ),
    Mutation(
        'fold',
        f'{CORE}/presets/fold.py',
        'is_winner = switch.expected == revision and',
        'is_winner =',
        'presets',
        'Of two concurrent switches exactly one is accepted',
    ),
    Mutation(
        'late-fold',
        f'{CORE}/presets/fold.py',
        'reaches_start = snapshot.as_of >= self.start',
        'reaches_start = True',
        'presets',
        'A reader that starts at a later offset never accepts a switch that a full read rejects',
    ),
    Mutation(
        'keeper',
        f'{NODE}/presets/republisher.py',
        'if not self.follower.reachability.is_reachable:',
        'if True:',
        'presets',
        'The log alone shows the preset in force long after its switch was evicted',
    ),
    Mutation(
        'catch-up',
        f'{NODE}/presets/catchup.py',
        'if revision <= self.relay.revision:',
        'if True:',
        'presets',
        'A new node learns the preset from its peers while the log is down',
    ),
    Mutation(
        'lost-answer',
        f'{CLIENT}/presets.py',
        'return published or switched',
        'return False',
        'presets',
        'A switch whose acknowledgement is lost takes effect once',
    ),
    Mutation(
        'silent-link',
        f'{NODE}/peer/link.py',
        'return silence_s >= timeout_s and',
        'return False and',
        'at_most_once',
        'A link that silently drops bytes is detected before the deadline',
    ),
    Mutation(
        'ask',
        f'{NODE}/routing/sender.py',
        'for _ in range(QUERY_ATTEMPTS):',
        'for _ in ():',
        'at_most_once',
        'The response to a running request arrives over a new link after the first one is lost',
    ),
    Mutation(
        'suspects',
        f'{NODE}/gate/suspects.py',
        'if suspect is None:\n            return Verdict.FREE',
        'if True:\n            return Verdict.FREE',
        'at_most_once',
        'A request that crashes its targets is refused after two crashes',
    ),
    Mutation(
        'reserved',
        f'{NODE}/gate/admission.py',
        'return free > min(self.slots_reserved_for_others(name), self.slots - 1)',
        'return free > 0',
        'admission',
        'Price lookups never delay dealer requests',
    ),
    Mutation(
        'deadline',
        f'{NODE}/gate/queue.py',
        'if self.would_miss_deadline(ticket):',
        'if False:',
        'admission',
        'A request behind a long queue is refused before its deadline',
    ),
    Mutation(
        'hedge',
        f'{NODE}/routing/router.py',
        'if not self.hedge_bucket.try_spend(1):',
        'if True:',
        'admission',
        'Hedged requests bypass a hanging target within their budget',
    ),
    Mutation(
        'retry-budget',
        f'{NODE}/routing/router.py',
        'return self.retry_budget.try_spend(state.request.call_class.service)',
        'return True',
        'admission',
        'Retries stay within their budget',
    ),
    Mutation(
        'fail-fast',
        f'{CORE}/routing/expected_time.py',
        '+ failure_ratio * tuning.failure_ms',
        '',
        'bad_targets',
        'A target that fails fast and looks idle receives no more than its share of requests',
    ),
    Mutation(
        'straggler',
        f'{CORE}/routing/expected_time.py',
        'reported = candidate.service_ms or UNKNOWN_SERVICE_FACTOR * baseline.service_ms',
        'reported = baseline.service_ms',
        'bad_targets',
        'A target that becomes slow receives no more than its share of requests',
    ),
    Mutation(
        'silent-target',
        f'{NODE}/gate/silence.py',
        'if has_later_reply or self.client.active_exchanges == 1:',
        'if False:',
        'bad_targets',
        'A keep-alive connection on which the target stops responding is replaced',
    ),
    Mutation(
        'replay',
        f'{CORE}/replay/replay.py',
        'if replayed.chosen != recorded.chosen:',
        'if False:',
        'decisions',
        'Replay detects a changed policy and a tampered record',
    ),
    Mutation(
        'suspicion',
        f'{NODE}/membership/suspicion.py',
        'if known is None or known.rank != member.rank:',
        'if True:',
        'membership',
        'A killed node is detected and its requests go to other nodes',
    ),
    Mutation(
        'lost-read',
        f'{NODE}/presets/reachability.py',
        'wait_s, RESPONSE_TIMEOUT_S',
        'wait_s, 60',
        'presets',
        'A read of the log that is never answered is given up soon after its wait ends',
    ),
    Mutation(
        'lost-reads-coincide',
        f'{NODE}/presets/poll_schedule.py',
        'drawn_s = random.expovariate(1 / mean_s)',
        'drawn_s = mean_s',
        'presets',
        'However the reads of a region coincide, one of them ends soon after the log is back',
    ),
    Mutation(
        'rate-limit',
        f'{NODE}/gate/admission.py',
        'or not self.rate_limit.has_token()',
        '',
        'admission',
        'A request that a rate limit would hold for too long is refused immediately',
    ),
    Mutation(
        'rate-limit-timer',
        f'{NODE}/gate/queue.py',
        'self.token_timer = loop.call_later(wait_s, self.start_waiting)',
        'loop.time()',
        'admission',
        'A request that a rate limit would hold for too long is refused immediately',
    ),
    Mutation(
        'leaving-answer',
        f'{NODE}/gate/gate.py',
        'if metadata.is_leaving:',
        'if False:',
        'leaving',
        'An answer that says the target is leaving closes the gate only to the start that answered',
    ),
    Mutation(
        'refute',
        f'{NODE}/membership/table.py',
        'own.version = report.version + 1',
        'return False',
        'membership',
        'A suspended node that resumes becomes a member again',
    ),
    Mutation(
        'restart',
        f'{NODE}/supervision/supervisor.py',
        'await self.run_once(child)\n',
        'await self.run_once(child)\n            return\n',
        'operations',
        "Every task of the node's supervision tree is restarted",
    ),
)


def run(mutation: Mutation) -> bool:
    """Run the scenario of a mutation on a changed copy of the sources.

    :returns: whether it failed, as it should.
    """
    with tempfile.TemporaryDirectory(prefix='mutation-') as folder:
        copy = Path(folder)
        for name in ('packages', 'features', 'examples'):
            shutil.copytree(name, copy / name)
        path = copy / mutation.path
        text = path.read_text()
        if text.count(mutation.old) != 1:
            sys.exit(
                f'{mutation.name}: the text to replace occurs {text.count(mutation.old)} times, not once'
            )
        path.write_text(text.replace(mutation.old, mutation.new))
        sources = [str(copy / 'packages' / name / 'src') for name in PACKAGES]
        command = [
            sys.executable,
            '-m',
            'behave',
            '--no-capture',
            '--name',
            f'^{mutation.scenario}$',
            f'features/{mutation.feature}.feature',
        ]
        completed = subprocess.run(
            command,
            cwd=copy,
            env={**os.environ, 'PYTHONPATH': os.pathsep.join(sources)},
            capture_output=True,
            timeout=SCENARIO_TIMEOUT_S,
            check=False,
        )
    return completed.returncode != 0


def main() -> int:
    """Run the mutations named on the command line, or all.

    :returns: exit code.
    """
    names = set(sys.argv[1:])
    survivors = 0
    for mutation in MUTATIONS:
        if names and mutation.name not in names:
            continue
        has_failed = run(mutation)
        survivors += not has_failed
        print(
            f'mutation={mutation.name} red={has_failed} scenario="{mutation.scenario}"',
            flush=True,
        )
    return int(survivors > 0)


if __name__ == '__main__':
    sys.exit(main())
