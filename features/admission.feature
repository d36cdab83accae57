Feature: The gate admits by class and deadline and refuses at once

  Scenario: Price lookups never hold up dealer-desk
    Given a deployment of 1 nodes with targets that take 2000 ms
    When 12 lookups and then 2 dealer requests are sent to node 1
    Then the dealer requests take less than 3.5 s
    And lookups beyond the queue are refused at once with when to come back

  Scenario: Work that cannot finish in time is refused at once
    Given a deployment of 1 nodes with targets that take 2000 ms
    When the target has a history and all its slots are taken
    And a caller allows 1000 ms for GET "/stock" at node 1
    Then the answer says "not-run"
    And the answer says when to come back
    And the answer took less than 0.9 s

  Scenario: A request behind a long queue is refused at once, not when its time is up
    Given a deployment of 1 nodes with targets that take 2000 ms
    When the target has a history and all its slots are taken
    And 10 more requests wait in the queue
    And a caller allows 5000 ms for GET "/stock" at node 1
    Then the answer says "not-run"
    And the answer took less than 2.5 s

  Scenario: A hedge overtakes a target that hangs, within its budget
    Given a deployment of 3 nodes
    And the targets of the other nodes take 60 ms
    When 60 requests are sent to node 1
    And one target hangs and 60 requests are sent to node 1
    Then every request was answered whole
    And hedges were sent, but no more than their budget

  Scenario: Retries stay within their budget
    Given a deployment of 3 nodes
    When every target fails and 100 requests are sent to node 1
    Then the targets were asked at most 121 times
