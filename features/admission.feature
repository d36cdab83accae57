Feature: The gate admits by class and deadline and refuses immediately

  Scenario: Price lookups never delay dealer requests
    Given a deployment of 1 nodes with targets that take 2000 ms
    When 12 lookups and then 2 dealer requests are sent to node 1
    Then the dealer requests take less than 3.5 s
    And lookups beyond the queue limit are refused immediately with a Retry-After header

  Scenario: A request that cannot finish in time is refused immediately
    Given a deployment of 1 nodes with targets that take 2000 ms
    When the target has a known service time and all its slots are occupied
    And a caller sends GET "/stock" with a deadline of 1000 ms to node 1
    Then the response has outcome "not-run"
    And the response has a Retry-After header
    And the response took less than 0.9 s

  Scenario: A request behind a long queue is refused before its deadline
    Given a deployment of 1 nodes with targets that take 2000 ms
    When the target has a known service time and all its slots are occupied
    And 10 more requests wait in the queue
    And a caller sends GET "/stock" with a deadline of 5000 ms to node 1
    Then the response has outcome "not-run"
    And the response took less than 2.5 s

  Scenario: Hedged requests bypass a hanging target within their budget
    Given a deployment of 3 nodes
    And the targets of the other nodes take 60 ms
    When 60 requests are sent to node 1
    And one target hangs and 60 requests are sent to node 1
    Then every request got a complete response
    And hedged requests were sent within their budget

  Scenario: Retries stay within their budget
    Given a deployment of 3 nodes
    When every target fails and 100 requests are sent to node 1
    Then the targets received at most 121 requests
