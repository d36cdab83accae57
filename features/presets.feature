Feature: An accepted preset is in force everywhere and never goes back

  Scenario: The fold agrees with a naive one on any history
    Then the fold agrees with the naive fold on generated histories

  Scenario: A reader that starts late never accepts what the full reader rejected
    Then late folds agree with the full fold on generated histories

  Scenario: Two operators race and exactly one wins
    Given a deployment of 2 nodes
    When two operators switch from the same revision at once
    Then one switch is accepted and the other is told that it lost
    And the accepted preset is in force on all running nodes

  Scenario: A switch whose answer is lost takes effect once
    Given a deployment of 2 nodes
    When the log loses the answers of the next 2 appends
    And preset "peak" is put in force
    Then preset "peak" is in force on all running nodes
    And the history shows one winner for "peak"

  Scenario: With the log down operators are told and nodes go on
    Given a deployment of 2 nodes
    When the log is down
    And an operator tries to switch to "ordinary"
    Then the operator is told that it was not accepted
    When a caller sends GET "/stock" to node 1
    Then the answer is whole and its own
    When the log is up again
    And preset "peak" is put in force
    Then preset "peak" is in force on all running nodes

  Scenario: A slow log holds up no request and loses no switch
    Given a deployment of 2 nodes
    When the log is slow
    And a caller sends GET "/stock" to node 1
    Then the answer is whole and its own
    And the answer took less than 1 s
    When the log is quick again
    And preset "peak" is put in force
    Then preset "peak" is in force on all running nodes

  Scenario: A new node learns the preset from its peers while the log is down
    Given a deployment of 3 nodes
    When preset "peak" is put in force
    And node 3 is killed
    And the log is down
    And node 3 is started again
    Then node 3 has preset "peak" in force
    When a caller sends GET "/stock" to node 3
    Then the answer is whole and its own

  Scenario: A node that starts after the records were evicted finds the preset
    Given a deployment of 2 nodes where the log keeps records for 4 s
    When 6 s pass
    And node 2 is killed
    And node 1 stays alone for a while
    And node 2 is started again
    Then preset "ordinary" is in force on all running nodes

  Scenario: The log alone tells what is in force long after the switch was evicted
    Given a deployment of 2 nodes where the log keeps records for 4 s
    When 9 s pass
    Then the log alone tells that "ordinary" is in force

  Scenario: A node frozen for longer than the eviction time does not bring the old preset back
    Given a deployment of 3 nodes where the log keeps records for 4 s
    When node 3 is frozen
    And preset "peak" is put in force on the others
    And 8 s pass
    And node 3 runs again
    Then node 3 has preset "peak" in force
    And preset "peak" is in force on all running nodes

  Scenario: A bad preset never displaces a good one
    Given a deployment of 1 nodes
    When an operator publishes a preset with three faults
    Then the operator is told of three findings with their places
    When a switch to an invalid preset is appended by hand
    And corrupt records are appended by hand
    And preset "peak" is put in force
    Then preset "peak" is in force on all running nodes

  Scenario: A region that was cut off catches up
    Given a deployment of two regions with 2 nodes each
    When the links both ways are cut
    And preset "peak" is put in force
    And the links both ways are whole again
    Then preset "peak" is in force on all running nodes
