Feature: A fault of one request on a link between nodes leaves the other requests alone

  Scenario: A body within the limit of one node does not break the links to nodes with a lower limit
    Then an order and its reply pass between nodes that have different body limits in force

  Scenario: An order at a node that is busy for long is answered with the reply of its target
    Then an order is answered though its node replies to no ping for many silence timeouts

  Scenario: A request that is cancelled while its body arrives leaves nothing behind
    Then an order that is cancelled while its body arrives does not run, and its link goes on

  Scenario: Requests to a node out of reach do not wait for one connection attempt each
    Then many requests to a node that accepts no connection are refused as not run before their deadline

  Scenario: Requests are not sent to a node that stays silent, and again once it responds
    Then requests to a node that accepts connections but stays silent are refused at once until it responds

  Scenario: One failed connection does not refuse the requests behind it
    Then requests after a single failed connection wait for the next one and are answered
    And they are answered too if an attempt to reconnect was cancelled before it began

  Scenario: The backoff of a node ends with its incarnation
    Then a node that failed is avoided until its next incarnation is known
