Feature: Decisions are plain functions that can be replayed

  Scenario: The policy agrees with a naive one
    Then the expected-time policy agrees with the naive one on generated situations

  Scenario: The same inputs give the same decision
    Then recorded decisions replay without difference on generated situations

  Scenario: Admission agrees with a naive one
    Then admission agrees with the naive one on generated sequences

  Scenario: Replay notices a changed rule and a tampered record
    Given a deployment of 2 nodes
    When 10 requests are sent to node 1
    And the decisions have reached the log
    Then replay reports no difference
    And explain tells why the latest request was routed as it was
    When a decision on the log is tampered with
    Then replay reports differences
    And replay under a changed rule reports differences

  Scenario: Decisions wait for a log that is down
    Given a deployment of 1 nodes
    When the log is down
    And 10 requests are sent to node 1
    And the log is up again
    And the decisions have reached the log
    Then replay reports no difference
