Feature: Operation of a node

  Scenario: A task that fails is restarted and counted
    Then a failing child is restarted with a backoff and counted
    And a child that fails too often ends its supervisor
    And a cancelled supervisor cancels its children

  Scenario: A stopping process does not wait forever for what its tasks left open
    Then supervisors that are cancelled more than once let their children clean up
    And a supervisor ends although a child ignores its cancellation
    And a process that does not exit by itself ends in time with its exit code
    And it does so although nobody reads its log

  Scenario: Signals at an inconvenient time do not kill a node
    Given a deployment of 1 nodes
    Then a SIGHUP while a node reads its settings does not end it
    And signals that go on until a stopping node has exited do not change its exit code

  Scenario: Every task of the node's supervision tree is restarted
    Given a deployment of 1 nodes
    Then a node still serves after each of its tasks was cancelled in turn

  Scenario: All errors in the settings are reported together
    When node settings with four errors are checked
    Then four errors are reported with their locations
    And valid settings pass

  Scenario: The command line reports results and exit codes
    Given a deployment of 2 nodes
    Then status, list, show, diff, history and completion succeed
    And failing commands exit with the code of their error
