Feature: Allotments of tenants over all nodes

  Scenario: No fault lets a tenant exceed its allotment
    Then in 300 generated histories of loss, delay, partition, freeze and restart no 5 s hold more than (rate x 5 + burst) x 1.1 + 20 requests of a tenant

  Scenario: Callers in any zone get the zone's share, also at less than one request a second
    Given 3 zones of 3 nodes and a tenant with 2 requests a second and a burst of 2
    When callers of one node send 10 requests a second for 30 s
    Then between 18 and 66 requests are served, each refusal names a time, and no request waited

  Scenario: Callers in one zone get the share of the others, and few messages cross zones
    Given 4 zones of 3 nodes and a tenant with 20 requests a second and a burst of 20
    When callers of one node send 10 requests a second for 30 s
    Then at least 270 requests are served and at most 60 frames crossed zones

  Scenario: A zone that needs its share lends none of it
    Given 2 zones of 1 nodes and a tenant with 20 requests a second and a burst of 20
    When callers of all nodes send 20 requests a second for 20 s
    Then each zone serves at least 180 requests and lends nothing

  Scenario: A freeze drops what was borrowed, and a lender keeps its rate lowered for longer
    Given 2 zones of 1 nodes and a tenant with 20 requests a second and a burst of 20
    When one zone borrows from the other and its owner freezes for 3 s
    Then it has no borrowed rate, and its lender has its own again 5 s after it lent

  Scenario: A tenant without a limit costs nothing
    Then a tenant without a limit gets no token and causes no message

  Scenario: One frame asks for the tokens of all tenants that are due
    Then requests of 20 tenants at once cause one frame to each owner, and idle time none

  Scenario: Without its owner, a node serves a small reserve and answers within 100 ms
    Given 1 zones of 4 nodes and a tenant with 200 requests a second and a burst of 200
    When the owner freezes and callers of another node send 50 requests a second for 2 s
    Then at most 10 requests are served, and each is answered within 0.11 s

  Scenario: A token that is given back keeps its expiry time, and expired tokens are not used
    Then a token given back is used once, and only until it expires

  Scenario: A lower limit takes tokens away at once, and a higher one adds none
    Then a bucket of 40 tokens holds 10 after its limit falls to 10, and 10 after it rises again

  Scenario: A hedge takes a token or is not sent
    Then a hedge is allowed only while a token is at hand
