Feature: A request is served from one end to the other
  Every node takes requests for every service and brings back the whole answer.

  Scenario: Each request gets its own whole answer
    Given a deployment of 2 nodes
    When a caller sends GET "/stock" to node 1
    Then the answer is whole and its own
    When a caller sends POST "/order" with 11 bytes to node 2
    Then the answer is whole and its own
    And the target received 11 bytes
    When a caller sends POST "/order" with 5000000 bytes to node 1
    Then the target received 5000000 bytes
    When a caller asks node 1 for 5000000 bytes
    Then the answer has 5000000 bytes

  Scenario: Requests cross regions whole when the service is there only
    Given a dealer node in the north and its only target in the south
    When a caller sends GET "/stock" to node 1
    Then the answer is whole and its own
    When a caller sends POST "/order" with 300000 bytes to node 1
    Then the target received 300000 bytes

  Scenario: A large file does not hold up a stock check on the same peer
    Given a dealer node in the north and its only target in the south
    When a large file and 20 stock checks go over the same link together
    Then every stock check ends before the file

  Scenario: What cannot be served is refused clearly and at once
    Given a deployment of 1 nodes
    When a caller sends GET "/stock" for an unknown host to node 1
    Then the answer says "not-run" with status 404
    When a caller sends POST "/order" with 20000000 bytes to node 1
    Then the answer says "not-run" with status 413
    When the target of node 1 is killed
    And a caller sends GET "/stock" to node 1
    Then the answer says "not-run" with status 503
    And the answer says when to come back
    And the answer took less than 2 s

  Scenario: A truncated answer is never passed on
    Given a deployment of 1 nodes
    When the target of node 1 cuts its answers off
    And a caller sends POST "/order" with 5 bytes to node 1
    Then the answer says "unknown" with status 502
    And the request ran 1 times

  Scenario: Malformed bytes on any port leave the process alive
    Given a deployment of 1 nodes
    When random bytes are sent to every port of node 1
    And a caller sends GET "/stock" to node 1
    Then the answer is whole and its own

  Scenario: The remaining deadline travels with the request
    Given a deployment of 1 nodes
    When a caller allows 700 ms for GET "/stock" at node 1
    Then the target was told of at most 700 ms
