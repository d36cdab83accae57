Feature: The emulator runs the node's own decision code under emulated load

  Scenario: A simulation is reproducible with a seed
    Then two simulations of "thanh-thuy-heavy" with one seed give the same results

  Scenario: The expected-time policy outperforms round-robin when targets are slow
    When a simulation of "haeftesoem-quiet" runs with 30 targets, half of them 6 times slower
    Then expected-time answers more requests in time than round-robin and random

  Scenario: Excess load is refused instead of queued until it fails
    When a simulation of "thanh-thuy-quiet" runs with 10 targets under 4 times the load
    Then at most 1 of 100 requests ends without a reply or a refusal
    And orders are answered in time at least as often as lookups of the same service

  Scenario: An invalid scenario file is rejected with every finding
    Then a scenario file with three errors is rejected with three findings

  Scenario: Operators compare policies on the command line
    When an operator simulates "thanh-thuy-quiet" for 5 nodes
    Then the results of both policies are printed as JSON
