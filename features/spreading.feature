Feature: A preset reaches every living node in time

  Scenario: No living node is left untold of a preset while members that have died count as living
    Given 55 of 100 nodes are lost just before a preset is read from the log
    Then each living node of 56 has it in force within 2.5 s in 6 of 6 runs if those lost never answer
    And each living node of 87 has it in force within 2.5 s in 4 of 4 runs if those lost refuse calls
    And each living node of 56 has it in force within 2.5 s in 6 of 6 runs if all readers of the log are among those lost
