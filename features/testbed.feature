Feature: The testbed does not disturb what it tests

  Scenario: Test processes that run at the same time use different ports
    Then two processes reserve different ports that the kernel gives to nobody else

  Scenario: A caller does not use a connection that its node has closed
    Then after a node has closed all kept connections, the next requests get their replies
