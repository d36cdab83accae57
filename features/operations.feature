Feature: Operators can run it

  Scenario: A task that dies is restarted and counted
    Then a failing child is restarted with a backoff and a log line
    And a child that fails too often ends its supervisor
    And a supervisor that is cancelled ends its children

  Scenario: Every branch of the node's tree comes back
    Given a deployment of 1 nodes
    Then a node whose every task is ended in turn still serves

  Scenario: Settings are checked as a whole
    When node settings with four faults are checked
    Then four findings are reported with their places
    And well-formed settings pass

  Scenario: The command line tells what it did
    Given a deployment of 2 nodes
    Then status, list, show, diff, history and completion work
    And a missing option and an unreachable node have their exit codes
