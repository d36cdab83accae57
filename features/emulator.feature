Feature: The emulator plays load against the product's own decisions

  Scenario: A run is the same each time it is played with a seed
    Then the scenario "thanh-thuy-heavy" gives the same figures twice

  Scenario: Expected time serves callers better than turns where targets are slow
    When 30 targets play "haeftesoem-quiet" with half of them 6 times slower
    Then expected time answers more in time than round robin and than random

  Scenario: More work than room is refused with a time to come back, not held
    When 10 targets play "thanh-thuy-quiet" under 4 times the load
    Then at most 1 of 100 requests ends without an answer or a refusal
    And orders are served no worse than lookups of the same service

  Scenario: A scenario with faults is refused with every finding
    Then a scenario with three faults is refused with three findings

  Scenario: Operators compare policies on the command line
    When an operator simulates "thanh-thuy-quiet" for 5 nodes
    Then the figures of both policies are printed as JSON
