Feature: Operation of a node

  Scenario: A task that fails is restarted and counted
    Then a failing child is restarted with a backoff and a log line
    And a child that fails too often ends its supervisor
    And a supervisor that is cancelled ends its children

  Scenario: Every task of the node's supervision tree is restarted
    Given a deployment of 1 nodes
    Then a node whose every task is ended in turn still serves

  Scenario: All errors in the settings are reported together
    When node settings with four faults are checked
    Then four findings are reported with their places
    And well-formed settings pass

  Scenario: The command line reports results and exit codes
    Given a deployment of 2 nodes
    Then status, list, show, diff, history and completion work
    And a missing option and an unreachable node have their exit codes
