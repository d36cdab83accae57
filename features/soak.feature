Feature: Real processes keep the guarantees under random faults

  Scenario Outline: A short soak test with a fixed seed
    Then a soak test of <seconds> s with seed <seed> finds no violation

    Examples: Seeds that exposed a fault are kept, with its cause
      | seed | seconds | cause                                                   |
      | 1    | 6       | none: baseline run                                      |
      | 101  | 8       | identical orders were refused after two targets crashed |
      | 107  | 8       | the same                                                |

  Scenario: A short soak test with all faults
    Then a soak test of 8 s with seed 500 and all faults finds no violation

  Scenario: A killed target accepts the next fault as soon as the first is reverted
    Given a deployment of 1 nodes
    When the soak test kills the target of node 1 and reverts the fault
    Then the next fault can be injected into the target of node 1 at once
