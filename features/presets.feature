Feature: An accepted preset takes effect on every node and is never replaced by an older one

  Scenario: The fold matches a naive implementation on any history
    Then the fold matches the naive implementation on generated histories

  Scenario: A reader that starts at a later offset never accepts a switch that a full read rejects
    Then folds that start at a later offset match the full fold on generated histories

  Scenario: Of two concurrent switches exactly one is accepted
    Given a deployment of 2 nodes
    When two operators switch concurrently from the same revision
    Then one switch is accepted and the other operator is told that it was not
    And the accepted preset is in force on all running nodes

  Scenario: A switch whose acknowledgement is lost takes effect once
    Given a deployment of 2 nodes
    When the log drops the responses to the next 2 appends
    And preset "peak" is put in force
    Then preset "peak" is in force on all running nodes
    And the history shows one accepted switch to "peak"

  Scenario: While the log is down operators get an error and nodes keep serving
    Given a deployment of 2 nodes
    When the log is down
    And an operator tries to switch to "ordinary"
    Then the operator is told that the switch was not accepted
    When a caller sends GET "/stock" to node 1
    Then the response is complete and belongs to the request
    When the log is up again
    And preset "peak" is put in force
    Then preset "peak" is in force on all running nodes

  Scenario: A preset that the log has lost stays in force, and switches are decided again
    Given a deployment of 3 nodes
    When a copy of the log is taken
    And preset "peak" is put in force
    And the log comes back from the copy
    And 2 s pass
    Then preset "peak" is in force on all running nodes
    When node 3 is killed
    And node 3 is restarted
    Then node 3 has preset "peak" in force
    When preset "ordinary" is put in force
    Then preset "ordinary" is in force on all running nodes

  Scenario: After the loss of all nodes the preset of the copy is put in force
    Given a deployment of 2 nodes
    When a copy of the log is taken
    And the log comes back from the copy
    And every node is killed at once
    And every node is started again
    Then preset "ordinary" is in force on all running nodes
    When preset "peak" is put in force
    Then preset "peak" is in force on all running nodes

  Scenario: A slow log delays no request, and a switch succeeds once the log responds without delay
    Given a deployment of 2 nodes
    When the log is slow
    And a caller sends GET "/stock" to node 1
    Then the response is complete and belongs to the request
    And the response took less than 1 s
    When the log responds without delay again
    And preset "peak" is put in force
    Then preset "peak" is in force on all running nodes

  Scenario: A new node learns the preset from its peers while the log is down
    Given a deployment of 3 nodes
    When preset "peak" is put in force
    And node 3 is killed
    And the log is down
    And node 3 is restarted
    Then node 3 has preset "peak" in force
    When a caller sends GET "/stock" to node 3
    Then the response is complete and belongs to the request

  Scenario: A node that starts after the records were evicted finds the preset
    Given a deployment of 2 nodes where the log keeps records for 4 s
    When 6 s pass
    And node 2 is killed
    And node 1 runs alone for longer than the retention time
    And node 2 is restarted
    Then preset "ordinary" is in force on all running nodes

  Scenario: The log alone shows the preset in force long after its switch was evicted
    Given a deployment of 2 nodes where the log keeps records for 4 s
    When 9 s pass
    Then the log alone shows that "ordinary" is in force

  Scenario: A node suspended for longer than the retention time does not restore the old preset
    Given a deployment of 3 nodes where the log keeps records for 4 s
    When node 3 is suspended
    And preset "peak" is put in force while a node is suspended
    And 8 s pass
    And node 3 is resumed
    Then node 3 has preset "peak" in force
    And preset "peak" is in force on all running nodes

  Scenario: An invalid preset never replaces a valid one
    Given a deployment of 1 nodes
    When an operator publishes a preset with three errors
    Then all three errors are reported with their locations
    When a switch to an invalid preset is appended directly to the log
    And corrupt records are appended directly to the log
    And preset "peak" is put in force
    Then preset "peak" is in force on all running nodes

  Scenario: A region catches up after a network partition
    Given a deployment of two regions with 2 nodes each
    When all links between the regions are cut
    And preset "peak" is put in force
    And all links between the regions are restored
    Then preset "peak" is in force on all running nodes

  Scenario: A preset accepted right after the log was silent is in force in time
    Given a deployment of 3 nodes
    When preset "peak" is put in force
    And the log answers nothing new for 9 s
    And preset "ordinary" is accepted
    Then 3 s later preset "ordinary" is in force on every node

  Scenario: However the reads of a region coincide, one of them ends soon after the log is back
    Then in regions of 2 to 1300 nodes whose reads all began at once, one ends within 3 s in 99 of 100 cases
    And a region of 1300 nodes makes no more than 60 reads a second
    And after 6 reads without news, a region of 5 nodes makes no more than 0.5 reads a second

  Scenario: A read of the log that is never answered is given up soon after its wait ends
    When a follower reads from a log that answers nothing
    Then each read is given up within 1 s of the end of its wait

  Scenario: A read of the log may take long, but the log must not be silent meanwhile
    Then a read whose parts arrive every 0.2 s for 1.6 s succeeds with a timeout of 0.5 s
    And a read that stops after its first part fails within 1 s

  Scenario: A peer that does not answer keeps no node from the preset of another
    When gossip names two peers with newer presets, and the newest does not answer
    Then the preset of the other is in force within 1.5 s

  Scenario: Peers that told of a preset and do not answer delay it by less than a second together
    When gossip names four peers with newer presets, and only the oldest answers
    Then the preset of the other is in force within 1.5 s

  Scenario: A preset of a peer that is refused is not fetched again and again
    When gossip names a peer with an invalid preset for 1 s, and then with a valid one
    Then the invalid one was fetched once, and the valid one is in force

  Scenario: What a node announces is not lost among members that have just died
    Given a region in which 6 of 12 other nodes have just died
    Then a node that announces a preset reaches three that live, in 200 of 200
    And it asks three nodes if all of them live, and twelve at most if none does
    And a relay reaches a living one of them in another region, in 95 of 100 cases
    And about two nodes of a region of 40 tell another region, besides its relays
    And members that never answer do not delay the next announcement

  Scenario: A change is noticed soon although all readers of the region died just before it
    Given a region of 23 nodes of which 9 live, none of them a log reader
    Then one of the living checks the log within 2 s in 95 of 100 cases
    And a suspected reader is replaced before it counts as dead

  Scenario: Readers that lose the log alone are noticed by a node that checks it at short intervals
    Given 40 nodes in 4 zones that know each other
    Then one node that does not wait at the log is the sentinel, and all nodes agree which
    And the next one is where the sentinel is known to have lost the log
    And the sentinel lets no more than 1 s pass between its checks
    And it says that the log is silent before its check has failed

  Scenario: A node that replaces a reader that died waits at the log soon
    When a node that only checks the log becomes a reader 0.3 s later
    Then it waits at the log within 1.5 s

  Scenario: A large preset arrives from a peer over a slow link, although it takes longer than one call may
    When gossip names a peer with a preset of 6000 routes, behind a link of 50000 bytes a second
    Then its preset is in force within 6 s

  Scenario: A change costs as many reads of the log as there are readers, not as there are nodes
    Given 87 nodes in 4 zones that know each other
    Then 2 nodes of each zone wait at the log, and all nodes agree which
    When the readers of a zone are dead
    Then 2 other nodes of that zone wait at the log
    And the nodes of a region that do not wait check the log once a second together, however many they are
    And the readers of a region share the rate of its first reads after news, so that a lost read is noticed soon
    And a node that knows no other waits at the log

  Scenario: A preset that was fetched from a peer is not read from the log again
    Then a node that fetched a preset from a peer does not read its record from the log
    And a position of another era of the log, or one that it has passed, is ignored
    And a node that has refused the latest preset tells no position

  Scenario: An invalid version does not hide the valid one before it
    Then a valid version that was read together with an invalid one behind it is in force

  Scenario: Nodes that start at the same time do not each read the whole preset from the log
    Then a node that starts beside a peer reads only what the peer has not read
    And it reads the newest record if the peer tells no position, or one that is gone
    And a node that was frozen reads on where it was
    And a node that learns a position while it reads the newest record abandons that read
    And a starting node goes on asking while those that it asked know no position

  Scenario: Parts of two presets are never mixed
    Then a preset that changes while its parts are fetched arrives whole
    And parts that are empty, truncated, too large or not compressed are refused
    And a node of an earlier version gets the whole preset, and its own is accepted

  Scenario: Nodes that do not wait at the log read no version that others are about to tell
    Then a node that finds news in the log, and is told of it within 0.5 s, reads no record
    And a node that finds news in the log, and is told of nothing, reads it within 2 s
    And it reads no record if a node of another region has the version
    And a node of another region that does not answer delays the read by less than a second
    And a node that starts reads no record while a peer that told its preset may tell its position

  Scenario: A node that starts beside a log from an older copy puts nothing older in force than its peers have
    Given a log that came back from an older copy, and holds preset 5
    Then a starting node whose peer tells preset 8 after 0.9 s never has preset 5 in force
    And a starting node whose peers tell nothing has preset 5 in force within 3 s

  Scenario: The readers of a large version do not fill the link that their region shares
    Given 24 nodes in 2 zones that know each other, of which 3 of each zone have more bandwidth
    Then 2 nodes of each zone wait at the log while a small version is in force, and no standby
    And 1 node of each zone waits, and 1 is a standby, while a large one is in force
    And all of these have more bandwidth
    And a standby checks the log once a second on average
