Feature: Failing and slow targets receive no more than their share of requests

  Scenario: A target that fails fast and looks idle receives no more than its share of requests
    Given a deployment of 3 nodes
    When the target of node 1 fails every request immediately
    And 120 requests are sent to node 1
    Then every request got a complete response
    And the target of node 1 received at most 40 requests

  Scenario: A target that becomes slow receives no more than its share of requests
    Given a deployment of 3 nodes
    When the target of node 1 becomes 60 times slower
    And 120 requests are sent to node 1
    Then every request got a complete response
    And the target of node 1 received at most 40 requests

  Scenario: A target that has recovered receives requests again
    Given a deployment of 3 nodes
    When the target of node 1 fails every request immediately
    And 60 requests are sent to node 1
    And the target of node 1 recovers
    Then the target of node 1 soon receives requests again

  Scenario: The failures recorded for a target expire when it gets no requests
    Given a deployment of 3 nodes
    When the target of node 1 fails every request immediately
    And 60 requests are sent to node 1
    Then node 1 soon reports no failures of its target

  Scenario Outline: Failures lose their weight within the recovery time, however few requests follow
    When a target that failed every request completes one every <seconds> s
    Then its failure ratio is below 1% after 15 s

    Examples:
      | seconds |
      | 0.5     |
      | 2       |
      | 4.9     |

  Scenario: Copies that lose a race do not count against a target
    Then a target whose requests are cancelled sooner than it usually replies keeps its averages
    And the averages of such a target expire as if it got no requests

  Scenario: A restarted target receives requests again
    Given a deployment of 1 nodes
    When the target of node 1 is killed
    And a caller sends GET "/stock" to node 1
    Then the response has outcome "not-run"
    When the target of node 1 is restarted
    Then requests to node 1 soon succeed

  Scenario: A keep-alive connection on which the target stops responding is replaced
    Given a deployment of 1 nodes
    When a caller sends GET "/stock" to node 1
    And the target stops responding on its open connections
    And a caller sends GET "/stock" to node 1
    Then the response is complete and belongs to the request
    And the response took less than 2 s
    When a caller sends POST "/order" with 5 bytes to node 1
    Then the response is complete and belongs to the request

  Scenario: A node with an exhausted traffic budget sends shorter gossip rounds
    Then a gossip round without budget has only the mandatory parts

  Scenario: Measurement traffic stays within its budget
    Given a deployment of two regions with 2 nodes each
    When 50 requests are sent to node 1
    And 3 s pass
    Then every node kept its measurement traffic within its budget
    And the metrics are labelled by class and tenant
