Feature: Properties that hold for generated inputs

  Scenario: However the load is spread, all nodes together keep the budget of repeats
    Then 10 nodes under skewed load keep the shared budget in every window
    And 100 nodes under skewed load keep the shared budget in every window
    And 1000 nodes under skewed load keep the shared budget in every window

  Scenario: A node that knows no other takes no constant part of the budget
    Then a node alone repeats no more than its requests earn

  Scenario: Splits keep their weights in every short sequence
    Then the parts of generated splits get their share of requests

  Scenario: Requests are the same however their bytes are cut
    Then generated requests parse the same in any pieces

  Scenario: What is no request is refused and nothing after it is read
    Then malformed heads are refused and what follows them is dropped

  Scenario: Reports in any order never bring back a start that has left
    Then generated reports of a target agree with a naive history

  Scenario: The longest prefix of the very host wins
    Then generated routes are found as a naive search finds them

  Scenario: The last slots stay empty only where they slow a target down
    Then the fill of a target follows what was measured

  Scenario: Whatever is lost, repeated, late or started again, an attempt keeps its promises
    Then 300 histories of attempts break no promise

  Scenario: Whatever the log does, no preset gives way to an older one
    Then 300 histories of presets break no promise

  Scenario: What a node tells after its restart counts before gossip names the restart
    Then a view asks no node that said after its restart that it takes no work

  Scenario: A suspended VM is noticed although the monotonic clock stood still
    Then a guard whose VM was suspended for 5 s trusts nothing that it held
