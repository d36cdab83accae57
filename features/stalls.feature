Feature: What has arrived in time is used, however busy the node is as its time limit passes

  Scenario: A reply of a target that has arrived in time is not given up by a busy node
    Then an order whose target replies in time succeeds though its gate is busy until the deadline
    And a request that waits for the slot of one that is answered gets it though the gate is busy
    And a reused connection that has delivered its reply to a busy node is not closed as silent
    And a lookup whose reply has arrived at a busy node gets no second copy

  Scenario: An order is not sent on a connection that its target has closed
    Then an order succeeds though its target closed the kept connection while its node was busy

  Scenario: A sound target does not count as down because its node was busy
    Then a target that accepts a connection while its node is busy is not marked as down

  Scenario: A link whose peer has answered is not closed as silent by a busy node
    Then an order over a link succeeds though its node is busy for longer than the silence timeout
    And a reply over a link that has arrived before the deadline is used

  Scenario: A busy node does not take a peer that it reached for unreachable
    Then a link whose connection was accepted while the node was busy is open

  Scenario: An answer of the log that has arrived is not read a second time
    Then a read of the log whose answer arrives while the node is busy does not fail
