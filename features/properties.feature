Feature: Properties that hold for generated inputs

  Scenario: All nodes together stay within the retry budget, however the load is distributed
    Then 10 nodes under skewed load stay within the shared retry budget in every window
    And 100 nodes under skewed load stay within the shared retry budget in every window
    And 1000 nodes under skewed load stay within the shared retry budget in every window

  Scenario: A node without known peers takes no part of the constant retry budget
    Then a node without known peers retries no more than its requests earn

  Scenario: Traffic splits follow their weights even over short sequences
    Then the services of generated splits get their share of requests

  Scenario: Requests parse the same however their bytes are split
    Then generated requests parse the same however their bytes are split

  Scenario: A malformed request is rejected and nothing after it is parsed
    Then malformed requests are rejected and the bytes after them are dropped

  Scenario: Reports in any order never bring back a target process that has left
    Then late reports of a target are detected as by a naive implementation

  Scenario: The longest matching prefix of the exact host wins
    Then route lookup matches a naive search on generated routes

  Scenario: The last slots stay empty only if filling them slows the target down
    Then the concurrency limit of a target follows its measured service times

  Scenario: Attempts keep their invariants despite loss, duplication, delay and restarts
    Then 300 generated attempt histories violate no invariant

  Scenario: No preset is replaced by an older one, whatever the log does
    Then 300 generated preset histories violate no invariant

  Scenario: No key runs twice, whatever the log does to its claims
    Then 150 generated claim histories violate no invariant

  Scenario: A load report after a restart counts before gossip announces the restart
    Then the load view excludes a node that reported after its restart that it accepts no work

  Scenario: A suspended VM is detected although the monotonic clock stood still
    Then the freeze guard reports a VM suspension of 5 s exactly once
