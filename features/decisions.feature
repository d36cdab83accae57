Feature: Decisions are deterministic and can be replayed

  Scenario: The expected-time policy matches a naive implementation
    Then the expected-time policy matches the naive implementation on generated inputs

  Scenario: Replaying a recorded decision gives the same decision
    Then recorded decisions replay without differences on generated inputs

  Scenario: Admission control matches a naive implementation
    Then admission control matches the naive implementation on generated sequences

  Scenario: Replay detects a changed policy and a tampered record
    Given a deployment of 2 nodes
    When 10 requests are sent to node 1
    And the decisions have reached the log
    Then replay reports no difference
    And explain shows why the latest request was routed to its target
    When a decision on the log is tampered with
    Then replay reports differences
    And replay under a changed policy reports differences

  Scenario: Decisions are buffered while the log is down
    Given a deployment of 1 nodes
    When the log is down
    And 10 requests are sent to node 1
    And the log is up again
    And the decisions have reached the log
    Then replay reports no difference

  Scenario: Batches that the log lost with an era are a loss, and all other gaps a difference
    Then a gap before a batch of a later era is a loss and a gap within an era is a finding
    And a batch that was sent again in a later era counts once and breaks no chain
    And a changed copy of a batch is a finding, whichever era it names
    And batches that were stored before the log had eras still form a chain

  Scenario: Decisions that were recorded before targets could name rate limits can be replayed
    Then a decision whose candidates have no rate limit is replayed without a difference

  Scenario: A batch of decisions that the log would refuse as too large does not hold back the later ones
    Given a log that refuses records of more than 65536 bytes
    When 2000 decisions that hardly compress are recorded and flushed
    Then all of them are on the log, in a chain without a gap

  Scenario: Decisions that are recorded during a flush don't cost an append each
    Given a log that records a decision during each append
    When 10 decisions are recorded and flushed
    Then the log got one append
    When the decisions that were added meanwhile are flushed
    Then all of them are on the log, in a chain without a gap
