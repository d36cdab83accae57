Feature: Review of a preset before it is published

  Scenario Outline: A fault is found at its place, and the exit code tells its severity
    When a preset with the fault "<fault>" is checked: <entries>
    Then the only finding is a <severity> at "<place>"
    Examples:
      | fault                  | severity | place                    | entries |
      | covered-route          | warning  | route[1]                 | ROUTE; host = "SHOP"; path = "/a/b"; methods = ["GET"] |
      | covered-by-two         | warning  | route[3]                 | ROUTE; host = "b"; methods = ["GET"]; ROUTE; methods = ["POST", "PUT"]; ROUTE; host = "b"; path = "/c"; methods = ["GET", "PUT"] |
      | unmatchable-route      | warning  | route[1].host            | ROUTE; host = "b:80" |
      | query-in-path          | warning  | route[1].path            | ROUTE; host = "b"; path = "/c?d" |
      | unused-class           | warning  | class[1]                 | [[class]]; name = "other" |
      | unused-service         | warning  | service[0]               | [[service]]; name = "other" |
      | tenant-without-keys    | warning  | tenant[1].keys           | KEYED; [[tenant]]; name = "beta" |
      | public-without-tenants | warning  | route[1].public          | ROUTE; host = "b"; public = true |
      | timeout-below-target   | warning  | route[1].timeout_ms      | ROUTE; host = "b"; timeout_ms = 500; target_ms = 501 |
      | deadline-above-timeout | warning  | route[1].timeout_ms      | ROUTE; host = "b"; timeout_ms = 399 |
      | route-deadline         | warning  | route[1].timeout_ms      | ROUTE; host = "b"; timeout_ms = 500; deadline_ms = 501 |
      | reserved-slots         | warning  | service[0].connections   | SERVICE; connections = 2; [[class]]; name = "wide"; reserved_slots = 3; [[route]]; service = "docs"; class = "wide" |
      | burst-below-one        | warning  | tenant[0].burst          | KEYED; rate_per_s = 5; burst = 0.9 |
      | hedge-burst            | warning  | hedge.burst              | [hedge]; burst = 0 |
      | burst-without-rate     | warning  | tenant[0].burst          | KEYED; burst = 5 |
      | attempts-above-retry   | warning  | route[1].attempts        | ROUTE; host = "b"; attempts = 4 |
      | disjoint-regions       | warning  | route[1].allowed_regions | ROUTE; host = "b"; allowed_regions = ["n"]; KEYED; allowed_regions = ["s"] |
      | cold-without-warmup    | warning  | service[0].cold_per_s    | SERVICE; cold_per_s = 2 |
      | equal-prefix           | warning  | route[2]                 | LONGEST; ROUTE; ROUTE; host = "Shop"; path = "/a" |
      | undefined-class        | error    | route[1].class           | [[route]]; service = "docs"; class = "none" |
      | shared-key             | error    | tenant[1].keys[0]        | KEYED; [[tenant]]; name = "beta"; keys = ["secret-1"] |
      | tenant-not-a-list      | error    | tenant                   | [tenant]; name = "alpha"; keys = ["secret-1"] |

  Scenario Outline: Nothing is found in a preset close to a fault
    Then nothing is found with <entries>
    Examples:
      | entries |
      | ROUTE; host = "b"; path = "/a/b"; ROUTE; host = "b" |
      | ROUTE; host = "b"; methods = ["GET"]; ROUTE; host = "b"; methods = ["GET", "PUT"] |
      | LONGEST; ROUTE; host = "b"; ROUTE; host = "b"; path = "/a" |
      | LONGEST; ROUTE; ROUTE; host = "b" |
      | ROUTE; host = "b"; timeout_ms = 400; target_ms = 400; attempts = 3 |
      | KEYED; rate_per_s = 5; burst = 1; SERVICE; cold_per_s = 2; warmup_ms = 1 |
      | ROUTE; host = "b"; allowed_regions = ["n", "s"]; public = true; KEYED; allowed_regions = ["s"] |

  Scenario: The examples have no findings, and no reviewer lacks a test
    Then nothing is found in the examples, and each reviewer has a fault in this feature

  Scenario Outline: Differences are told in operators' words, and keys are only counted
    When the new version is checked against the old one from <source>
    Then the differences are one line for each entry or key that differs
    Examples:
      | source   |
      | a file   |
      | the log  |
      | the node |
