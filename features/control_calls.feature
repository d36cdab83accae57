Feature: A failed control call does not affect other calls

  Scenario: A call that fails does not cancel another one to the same node
    Then a claim query completes although a gossip round to its holder times out

  Scenario: A call over an open connection that fell silent is answered over a new one in time
    Then a gossip round is answered although the connection of the round before has fallen silent

  Scenario: Gossip tells a node that the log came back from an older copy
    Then a node recovers once when gossip names a later era of the log, and ignores earlier ones
