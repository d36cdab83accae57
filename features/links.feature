Feature: A fault of one request on a link between nodes leaves the other requests alone

  Scenario: A body within the limit of one node does not break the links to nodes with a lower limit
    Then an order and its reply pass between nodes that have different body limits in force

  Scenario: An order at a node that is busy for long is answered with the reply of its target
    Then an order is answered though its node replies to no ping for many silence timeouts

  Scenario: A request that is cancelled while its body arrives leaves nothing behind
    Then an order that is cancelled while its body arrives does not run, and its link goes on
