Feature: A planned shutdown interrupts no request

  Scenario: A drained target receives no new requests and finishes those in flight
    Given a deployment of 3 nodes
    When the targets take 300 ms
    And requests are sent to node 1 while node 2 is drained
    Then every request got a complete response
    And the target of node 2 receives no new requests after 3 s

  Scenario: A node finishes the requests in flight before it shuts down
    Given a deployment of 3 nodes
    When the targets take 500 ms
    And a caller starts POST "/order" at node 3
    And the request runs at a target
    And node 3 is sent SIGTERM
    Then the response is complete and belongs to the request
    And node 3 exited with code 0

  Scenario: Orders that come late in the grace period of a planned stop are never cut
    Given a deployment of 2 nodes that stop within 4 s, and slow targets
    When orders come late in the grace period of a planned stop of node 1
    Then every order that was passed on is answered, and the others are refused as not run
    And node 1 exited with code 0

  Scenario: A stopping node answers orders on connections that it has not accepted yet
    Then orders that wait in the accept queue are answered before the node has finished its work

  Scenario: A node that ends resets no connection with an unanswered request
    Then a request that a target runs at the end of the drain is answered as unknown
    And one that was not passed on, and one without its whole body, are refused as not run

  Scenario: A node that is busy at the end of its drain cuts no order that has arrived
    Then an order that arrives while the event loop is busy until after that end is refused as not run
    And a reply that arrives while the event loop is busy then is passed on

  Scenario: A node that fails cuts no accepted request
    Then requests in progress are answered when the tasks of a node fail too often

  Scenario: A node that ends leaves no other node without an outcome
    Then an outcome counts as work until the other node has been sent all of it
    And an attempt that runs at the end of the drain gets the outcome unknown

  Scenario: A rolling restart under load loses no request and repeats none
    Given a deployment of 3 nodes
    When every node is restarted in turn under load
    Then no request was lost, truncated or run twice

  Scenario: A gate refuses requests for a draining target before other nodes know
    Then a gate whose target is draining refuses new requests and finishes running ones

  Scenario: An acknowledged announcement that a target leaves always takes effect
    Then a target that leaves without its name is drained, also the second time

  Scenario: A target that announces draining receives no new requests
    Given a deployment of 2 nodes
    When the target of node 2 announces that it is draining
    Then the target of node 2 receives no new requests

  Scenario: Bytes that arrive after the close of an idle connection are logged
    Then a request that crosses the close of its connection leaves a warning
    And it leaves the warning also if its caller closes the connection at once

  Scenario: A repeated departure of an earlier start does not drain the later one
    Then a target that started again under its name stays up when its old departure is repeated

  Scenario: A later start time under the same name is a new start
    Then a report with a later start time resets the averages of the target

  Scenario: A queued request starts as soon as the target offers more slots
    Then a request that waits for a slot gets one when the number of slots rises

  Scenario: An answer that says the target is leaving closes the gate only to the start that answered
    Then such an answer of the current start closes the gate, and one of an earlier start does not

  Scenario: Late reports do not bring back a target that says in health checks that it leaves
    Then late reports confirm a target that a restarted node does not know only if health checks do not contradict them
    And reports that go on for longer than one can be late outweigh its health checks
