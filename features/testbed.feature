Feature: The testbed does not disturb what it tests

  Scenario: Test processes that run at the same time use different ports
    Then two processes reserve different ports that the kernel gives to nobody else
