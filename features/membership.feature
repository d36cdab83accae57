Feature: Nodes know who is there

  Scenario: A killed node is noticed and its work goes elsewhere
    Given a deployment of 4 nodes
    When node 4 is killed
    And 40 requests are sent to node 1
    Then every request was answered whole
    And every running node sees 3 living members

  Scenario: A restarted node is not taken for its former self
    Given a deployment of 3 nodes
    When node 3 is killed
    And node 3 is started again
    Then every running node knows the new incarnation of node 3

  Scenario: A frozen node that resumes is a member again
    Given a deployment of 3 nodes
    When node 3 is frozen
    And the others see 2 living members
    And node 3 runs again
    Then every running node sees 3 living members

  Scenario: An availability zone is lost at once
    Given a deployment of 6 nodes
    When the nodes of zone "hn-b" are killed
    Then every running node sees 3 living members
    And the limit for membership traffic held

  Scenario: A region is cut off and joins again
    Given a deployment of two regions with 3 nodes each
    When the links both ways are cut
    And 2 s pass
    And 20 requests are sent to node 1
    Then every request was answered whole
    When the links both ways are whole again
    Then every running node sees 6 living members

  Scenario: A node that answers again is avoided no longer
    Then avoidance grows with each failure and ends with an answer

  Scenario: Members merge the same in any order
    Then member tables agree with the naive one on generated rumours

  Scenario: A rack that was cut off within a region is found again
    Then a member counted dead is probed again and refutes
