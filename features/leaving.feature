Feature: A planned stop cuts nothing off

  Scenario: A drained target gets no new work and ends what it has
    Given a deployment of 3 nodes
    When the targets take 300 ms
    And requests run through node 1 while node 2 is drained
    Then every request was answered whole
    And the target of node 2 gets no new work after 3 s

  Scenario: A node told to stop ends its work first
    Given a deployment of 3 nodes
    When the targets take 500 ms
    And a caller starts POST "/order" at node 3
    And the request runs at a target
    And node 3 is told to stop
    Then the answer is whole and its own
    And node 3 ended with code 0

  Scenario: A rolling restart under load loses and repeats nothing
    Given a deployment of 3 nodes
    When every node is restarted in turn under load
    Then no request was lost, cut off or run twice

  Scenario: A gate closes before anybody else has heard
    Then a gate whose target drains refuses new work and ends what runs

  Scenario: A target that says it drains is left alone
    Given a deployment of 2 nodes
    When the target of node 2 announces that it drains
    Then no new work reaches the target of node 2
