Feature: Requests that may not be repeated run at most once
  The outcome not-run means that the request did not run and can be sent again.

  Scenario: The response to a running request arrives over a new link after the first one is lost
    Given a caller node in the north and the only dealer target in the south
    When the targets take 800 ms
    And a caller starts POST "/order" at node 1
    And the request runs at a target
    And the link to the south is cut
    And the link to the south is restored
    Then the response is complete and belongs to the request
    And the request ran 1 times

  Scenario: A link that silently drops bytes is detected before the deadline
    Given a caller node in the north and the only dealer target in the south
    When a caller sends GET "/stock" to node 1
    And the open connections to the south drop all bytes while new ones work
    And a caller starts POST "/order" at node 1
    Then the response is complete and belongs to the request
    And the request ran 1 times
    And the response took less than 3 s

  Scenario: A gate that is suspended and resumed runs no request twice
    Given a caller node in the north and the only dealer target in the south
    When node 2 is suspended
    And a caller starts POST "/order" at node 1
    And 3 s pass
    And node 2 is resumed
    And the response has arrived
    And 1 s pass
    Then the request ran at most once
    And a response of "not-run" means that the request ran 0 times

  Scenario: An attempt whose outcome was queried before it arrived never runs
    Then a gate refuses an attempt whose outcome was queried before it arrived

  Scenario: An order that runs for more than a minute is not given up when the link to its target node is lost
    Then a gate returns the outcome of an attempt that was sent 70 s ago once it ends

  Scenario: An unexpected error in the gate gets a response and leaves no attempt behind
    Then a gate returns unknown and ends the attempt if its client raises an error

  Scenario: A refused retry never makes a request that ran report not-run
    Then a router does not report not-run if an attempt ran before a refused retry

  Scenario: The same idempotency key sent to several nodes runs once
    Given a deployment of 3 nodes
    When a caller sends POST "/order" with key "k1" to node 1
    Then the response is complete and belongs to the request
    When a caller sends POST "/order" with key "k1" to node 2
    Then the response is complete and belongs to the request
    When a caller sends POST "/order" with key "k1" to node 3
    Then the response is complete and belongs to the request
    And the request ran 1 times

  Scenario: The same idempotency key sent to all nodes at once runs once
    Given a deployment of 3 nodes
    When the targets take 300 ms
    And key "k2" is sent to every node 3 times at once
    Then the request ran 1 times
    And no response belongs to another request

  Scenario: A lost response to the append of a claim does not make the request run twice
    Given a deployment of 2 nodes
    When the log drops the responses to the next 1 claims
    And a caller sends POST "/order" with key "k3" to node 1
    And a caller sends POST "/order" with key "k3" to node 1
    And a caller sends POST "/order" with key "k3" to node 2
    Then the response is complete and belongs to the request
    And the request ran 1 times

  Scenario: While the log is down a keyed request is refused as not-run and can be retried
    Given a deployment of 2 nodes
    When the log is down
    And a caller sends POST "/order" with key "k4" to node 1
    Then the response has outcome "not-run" and status 503
    And the response has a Retry-After header
    And the request ran 0 times
    When the log is up again
    And a caller sends POST "/order" with key "k4" to node 2
    Then the response is complete and belongs to the request
    And the request ran 1 times

  Scenario: A keyed request whose node crashed is never run again
    Given a deployment of 3 nodes
    When the targets take 1500 ms
    And a caller starts keyed POST "/order" with key "k5" at node 1
    And the request runs at a target
    And node 1 is killed
    And a caller sends POST "/order" with key "k5" to node 2
    Then the response has outcome "unknown" and status 409
    When 2 s pass
    Then the request ran 1 times

  Scenario: Claims agree with a naive implementation on generated streams
    Then the claim fold agrees with a naive implementation on generated streams

  Scenario: A key that ran before the log came back from an older copy is not run again
    Given a deployment of 3 nodes
    When a copy of the log is taken
    And a caller sends POST "/order" with key "k6" to node 1
    Then the response is complete and belongs to the request
    When the log comes back from the copy
    And a caller sends POST "/order" with key "k6" to node 2
    Then the response has outcome "not-run" and status 503
    And the response has a Retry-After header
    When 9 s pass
    And a caller sends POST "/order" with key "k6" to node 3
    Then the response is complete and belongs to the request
    And the request ran 1 times

  Scenario: A claim that the log has lost still counts
    Then a claim that the log lost is known to a node that had read it

  Scenario: A request that crashes its targets is refused after two crashes
    Given a deployment of 4 nodes
    When a crashing request is sent 6 times together with unrelated requests
    Then at most 2 targets crashed
    And the crashing request is refused as "not-run"
    And every unrelated request that failed succeeds when sent again

  Scenario: A refused request fails immediately if the remaining targets are not permitted
    Then a request fails immediately once no permitted target is left

  Scenario: A request that has completed before is not refused when targets crash
    Then a request that has completed before is not suspected

  Scenario: A refusal by a target clears no request of the suspicion that it crashes targets
    Then a request that a target refuses stays suspected, and one that a target completes does not

  Scenario: Replies to an equal request of another caller do not clear one that crashes its targets
    Then a request of one caller stays suspected though an equal one of another caller completes

  Scenario: Suspicions of a crash under load do not keep that of a crashing request from other nodes
    Given 500 requests that ran beside a crash and 9 that are refused since then
    Then each refused one is in one of 3 rounds of gossip, and each other one in one of 125
    And a full table evicts the requests that ran beside a crash first

  Scenario: A node that starts learns which requests are refused before it serves callers
    Given 6 nodes, and one of them refuses a request
    When all the others start at the same moment
    Then each of them refuses the request before it is ready
    And a node whose questions were not answered tells no other that it knows all
