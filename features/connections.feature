Feature: Each request on a caller's connection gets exactly one answer, in order

  Scenario: A head that arrives in two parts adds no answer to the one of its request
    Then an order with a large body whose head comes in two parts is answered once
    And the next order on that connection gets its own answer

  Scenario: A request that asks to close the connection gets no second answer
    Then bytes behind a request that closes its connection are not answered

  Scenario: A stopping node ends the connection of a caller that always has requests in progress
    Then every request that it passes on is answered, the last reply closes the connection
    And requests that a stopping node receives together are all answered

  Scenario: A stopping node passes on no late request whose deadline is after its end
    Then a stopping node accepts late requests only if they end before it does

  Scenario: A request that outlasts the idle timeout is answered, and its connection stays open
    Then requests that run for three idle timeouts are answered on one connection

  Scenario: Each time limit of a connection applies only to the state that it belongs to
    Then an idle connection closes after the idle timeout
    And a head that does not end closes the connection after the header timeout
    And a body that stalls is refused as not run, and one that arrives slowly is accepted

  Scenario: A request that has arrived is answered, however busy the node is as its connection would close
    Then requests that arrive in time are answered, though the node is busy until the time limit has passed
    And a request that arrives in time on an idle connection of a busy stopping node is answered
    And a request that has arrived unread as the node ends gets an answer
    And a caller learns that its idle connection closes before the node does anything else

  Scenario: A request that offers an upgrade runs with its whole body, and is answered once
    Then requests that offer an upgrade parse like those that do not, however they are split
    And the next request on the connection of such a request gets its own answer

  Scenario: A caller that leaves is noticed, however many requests it has in progress
    Then a caller that leaves with 1, 16 or 40 requests in progress leaves no work behind

  Scenario: A caller that waits to send a body is prompted only once it is its turn
    Then "100 Continue" follows the reply to the request before

  Scenario: Whatever a caller does on its connection, it gets whole answers in order
    Then 150 generated sequences of requests, pauses, stops and closes agree with h11

  Scenario: A request whose connection ends without its reply leaves a warning with the cause
    Then an error of a connection's task, and the end of the process, name the requests that they cut
    And a caller that leaves is counted and leaves no such warning
    And a caller that leaves while it waits to send a body is no failure of its connection
    And a caller that leaves as its connection is being closed is no failure of it

  Scenario: A busy event loop is logged and counted
    Then a tick that is late is logged with its lag, and each lag is counted
