Feature: Nodes agree on the membership of the cluster

  Scenario: A killed node is detected and its requests go to other nodes
    Given a deployment of 4 nodes
    When node 4 is killed
    And 40 requests are sent to node 1
    Then every request got a complete response
    And every running node sees 3 alive members

  Scenario: A restarted node is distinguished from its previous incarnation
    Given a deployment of 3 nodes
    When node 3 is killed
    And node 3 is restarted
    Then every running node knows the new incarnation of node 3

  Scenario: A suspended node that resumes becomes a member again
    Given a deployment of 3 nodes
    When node 3 is suspended
    And the other nodes see 2 alive members
    And node 3 is resumed
    Then every running node sees 3 alive members

  Scenario: The other nodes detect that all nodes of an availability zone failed at once
    Given a deployment of 6 nodes
    When the nodes of zone "hn-b" are killed
    Then every running node sees 3 alive members
    And membership traffic stays within its limit

  Scenario: Requests succeed during a partition between regions, and all members rejoin after it
    Given a deployment of two regions with 3 nodes each
    When all links between the regions are cut
    And 2 s pass
    And 20 requests are sent to node 1
    Then every request got a complete response
    When all links between the regions are restored
    Then every running node sees 6 alive members

  Scenario: A node that responds again is no longer avoided
    Then the backoff period grows with each failure and a response resets it

  Scenario: Membership updates give the same table in any order
    Then member tables agree with a naive implementation on generated updates

  Scenario: Nodes partitioned within a region rejoin
    Then a member that was declared dead refutes that and counts as alive again

  Scenario: Regions whose nodes all start at the same moment find each other
    When four nodes of two regions read the members at the same moment, and know a seed of their region
    Then at least one of them knows all the others

  Scenario: Where traffic between zones is kept low, a zone as a whole still probes others and learns their loads
    Given a region of 2 zones with 20 nodes each, whose gossip stays in the zone
    Then the nodes of a zone together probe about one member of the other zone in each round
    And each of them probes all of its own zone
    And an urgent update goes to 3 members of the own zone, and about 3 of the other zone from all nodes together
    When a member of the other zone is suspected
    Then they probe as many members there as in their own zone
    And a round carries some reports of the other zone, however many newer ones there are
    And a closed target of the other zone is tried again after 3 s
