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

  Scenario: No window holds more requests than a rate limit allows, whatever the pauses
    Then on generated histories of arrivals, pauses and restarts no 4 s hold more than 1.5 times the limit and 5 requests

  Scenario: A request that a rate limit would hold for too long is refused immediately
    Given a queue whose target names a limit of 2 requests a second
    When requests that are due in 3 s arrive at once
    Then 5 or 6 of them start within 3 s, as the limit allows
    And the others are refused within 0.1 s, and told to come back after the queue is empty

  Scenario: Requests that wait for a rate limit start once it is lifted
    Given a queue whose target names a limit of 0.5 requests a second
    When 3 requests that are due in 20 s arrive at once
    And the limit is lifted
    Then all of them start within 0.1 s

  Scenario: A target whose rate limit would make the reply late is chosen last
    Then a request goes to the target that its limit would not make late, if there is one

  Scenario: An attempt that is cancelled while its target is examined keeps no connection
    Then the place of such a connection under the limit is free again
