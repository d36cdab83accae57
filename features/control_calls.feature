Feature: A failed control call does not affect other calls

  Scenario: A call that fails does not cancel another one to the same node
    Then a claim query completes although a gossip round to its holder times out
