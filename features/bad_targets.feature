Feature: Bad targets attract no more than their share

  Scenario: A target that fails fast looks idle and is left alone
    Given a deployment of 3 nodes
    When the target of node 1 fails every request at once
    And 120 requests are sent to node 1
    Then every request was answered whole
    And the target of node 1 was asked at most 40 times

  Scenario: A straggler is left alone
    Given a deployment of 3 nodes
    When the target of node 1 becomes 60 times slower
    And 120 requests are sent to node 1
    Then every request was answered whole
    And the target of node 1 was asked at most 40 times

  Scenario: A target that has recovered is given work again
    Given a deployment of 3 nodes
    When the target of node 1 fails every request at once
    And 60 requests are sent to node 1
    And the target of node 1 recovers
    Then the target of node 1 is soon asked again

  Scenario: What was learned of a target is forgotten when it gets no work
    Given a deployment of 3 nodes
    When the target of node 1 fails every request at once
    And 60 requests are sent to node 1
    Then node 1 soon reports no failures of its target

  Scenario: A restarted target is given work again
    Given a deployment of 1 nodes
    When the target of node 1 is killed
    And a caller sends GET "/stock" to node 1
    Then the answer says "not-run"
    When the target of node 1 is started again
    Then a caller is soon served by node 1

  Scenario: A kept-alive connection to the target that went silent is replaced
    Given a deployment of 1 nodes
    When a caller sends GET "/stock" to node 1
    And the target stops answering on its open connections
    And a caller sends GET "/stock" to node 1
    Then the answer is whole and its own
    And the answer took less than 2 s
    When a caller sends POST "/order" with 5 bytes to node 1
    Then the answer is whole and its own

  Scenario: When the budget is spent a node says less, not more
    Then a round of gossip without budget says only what it must

  Scenario: Measuring stays within its budget
    Given a deployment of two regions with 2 nodes each
    When 50 requests are sent to node 1
    And 3 s pass
    Then every node spent no more on measuring than its budget
    And the metrics name each class and tenant
