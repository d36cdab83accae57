Feature: A preset reaches every living node in time

  Scenario: No living node is left untold of a preset while members that have died count as living
    Given 55 of 100 nodes are lost just before a preset is read from the log
    Then each living node of 56 has it in force within 2.5 s in 6 of 6 runs if those lost never answer
    And each living node of 87 has it in force within 2.5 s in 4 of 4 runs if those lost refuse calls
    And each living node of 56 has it in force within 2.5 s in 6 of 6 runs if all readers of the log are among those lost

  Scenario: A change is in force in time although the nodes that wait at the log have just died
    Given 55 of 100 nodes are lost just before a preset is written to the log
    Then each living node of 56 has it in force within 2.5 s in 8 of 8 runs if all readers of the log are among those lost
    And each living node of 32 has it in force within 2.5 s in 8 of 8 runs if all readers of the log are among those lost

  Scenario: A node is told of a preset although its open connections have fallen silent
    Given no nodes are lost, and a preset takes 0.3 s to prepare
    Then each living node of 87 has it in force within 2.5 s in 4 of 4 runs if 1 in 10 nodes had its connections fall silent
    And each living node of 56 has it in force within 2.5 s in 4 of 4 runs if all nodes had their connections fall silent

  Scenario: A preset is in force in time though the nodes that tell of news lose the log and nothing else
    Given no nodes are lost, and a preset takes 0.2 s to prepare
    Then each living node of 16 has it in force within 2.5 s in 30 of 30 runs if all nodes that wait at the log are cut off from it
    And each living node of 56 has it in force within 2.5 s in 10 of 10 runs if all nodes that wait at the log are cut off from it
    And each living node of 16 has it in force within 2.5 s in 30 of 30 runs if all nodes but itself are cut off from the log

  Scenario: A node whose neighbours miss it with a call is told of a preset nevertheless
    Given no nodes are lost, and a preset takes 0.3 s to prepare
    Then each living node of 87 has it in force within 2.5 s in 4 of 4 runs if 1 in 10 calls is lost

  Scenario: A run of members that never answer delays the news by a second at most
    Then a node whose next 15 neighbours have died tells the one behind them within 1 s

  Scenario: All nodes agree on the ring, however they learned of its members
    Then after random changes of its members each node is the next of exactly one other
    And one pair of neighbours links each zone with the next

  Scenario: The time to prepare a preset does not add up over the nodes that pass it on
    Given no nodes are lost, and a preset takes 1 s to prepare
    Then each living node of 56 has it in force within 2.5 s in 4 of 4 runs if none is lost

  Scenario: A preset is passed on while it is being prepared, and no longer once it is refused
    Given a node that has received preset 8 of a peer at position 40, and has preset 7 in force
    Then it tells preset 8 and position 40 to peers, and preset 7 to operators
    And it tells preset 7 to peers after it has refused preset 8

  Scenario: A member that restarted is told again what its former process knew
    Given a node with revision 8 in force, which a member has told it has too
    Then the member is not told of it, but its next process is, and so is a member with revision 7
