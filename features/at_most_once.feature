Feature: What may not be repeated runs at most once
  A caller that is told not-run may send again; nothing ran.

  Scenario: A link lost under a running request brings its answer over a fresh link
    Given a dealer node in the north and its only target in the south
    When the targets take 800 ms
    And a caller starts POST "/order" at node 1
    And the request runs at a target
    And the link to the south is cut
    And the link to the south is whole again
    Then the answer is whole and its own
    And the request ran 1 times

  Scenario: A link that goes silent is noticed before the deadline
    Given a dealer node in the north and its only target in the south
    When a caller sends GET "/stock" to node 1
    And the open connections to the south go silent while new ones work
    And a caller starts POST "/order" at node 1
    Then the answer is whole and its own
    And the request ran 1 times
    And the answer took less than 3 s

  Scenario: A gate that is frozen and resumed runs nothing twice
    Given a dealer node in the north and its only target in the south
    When node 2 is frozen
    And a caller starts POST "/order" at node 1
    And 3 s pass
    And node 2 runs again
    And the answer has come
    And 1 s pass
    Then the request ran at most once
    And an answer of "not-run" means that it ran 0 times

  Scenario: A request that was buried is never run
    Then a gate refuses an attempt that it was asked about first

  Scenario: A fault inside the gate is answered and forgets no attempt
    Then a gate whose client breaks answers unknown and keeps nothing running

  Scenario: A refused retry never turns a request that ran into not-run
    Then a router whose first attempt ran and whose retry is refused does not say not-run

  Scenario: The same key through two nodes runs once
    Given a deployment of 3 nodes
    When a caller sends POST "/order" with key "k1" to node 1
    Then the answer is whole and its own
    When a caller sends POST "/order" with key "k1" to node 2
    Then the answer is whole and its own
    When a caller sends POST "/order" with key "k1" to node 3
    Then the answer is whole and its own
    And the request ran 1 times

  Scenario: The same key through many nodes at the same moment runs once
    Given a deployment of 3 nodes
    When the targets take 300 ms
    And key "k2" is sent through every node at the same moment 3 times
    Then the request ran 1 times
    And no answer is of another request

  Scenario: A lost answer of the claim's append does not run it twice
    Given a deployment of 2 nodes
    When the log loses the answers of the next 1 claims
    And a caller sends POST "/order" with key "k3" to node 1
    And a caller sends POST "/order" with key "k3" to node 1
    And a caller sends POST "/order" with key "k3" to node 2
    Then the answer is whole and its own
    And the request ran 1 times

  Scenario: With the log down a key is refused as not-run and may be sent again
    Given a deployment of 2 nodes
    When the log is down
    And a caller sends POST "/order" with key "k4" to node 1
    Then the answer says "not-run" with status 503
    And the answer says when to come back
    And the request ran 0 times
    When the log is up again
    And a caller sends POST "/order" with key "k4" to node 2
    Then the answer is whole and its own
    And the request ran 1 times

  Scenario: A claim whose node died is never run again
    Given a deployment of 3 nodes
    When the targets take 1500 ms
    And a caller starts keyed POST "/order" with key "k5" at node 1
    And the request runs at a target
    And node 1 is killed
    And a caller sends POST "/order" with key "k5" to node 2
    Then the answer says "unknown" with status 409
    When 2 s pass
    Then the request ran 1 times

  Scenario: Claims agree with a naive reading on generated streams
    Then the claim fold gives a key to one holder only on generated streams

  Scenario: A request that kills its targets stops after two
    Given a deployment of 4 nodes
    When a request that crashes its target is sent 6 times with innocents beside it
    Then at most 2 targets died
    And the crashing request is refused as "not-run"
    And every innocent request got through when sent again

  Scenario: A request that nobody takes ends, though targets are left that it may not try
    Then a request that has tried every near target ends at once

  Scenario: A request that many callers send is not refused because targets died
    Then a request that others have had answered is not suspected
