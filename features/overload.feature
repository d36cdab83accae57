Feature: Under overload, tenants share a gate fairly and the least costly work waits

  Scenario Outline: A tenant with 7.5 times its load and impatient callers takes only what others leave
    When one of 4 tenants sends 7.5 times its usual load and retries at once, with the order "<order>"
    Then at least 0.9 of the requests of the other tenants are answered in time
    And all slots stay in use

    Examples:
      | order    |
      | priority |
      | cost     |

  Scenario: Requests of a tenant with a higher priority are served first
    When a tenant of priority 0 and one with the priority of its class overload a target
    Then at least 0.9 of the requests of the tenant of priority 0 are answered in time

  Scenario: Requests are not sorted by tenant if the preset has no tenants
    Then requests without tenants start in the order of their deadlines, whatever their tenant header

  Scenario: No tenant is served less than a quarter as often as all
    Then on generated backlogs every tenant gets at least a quarter of the average starts

  Scenario: The queue of a gate stays small and fast with thousands of tenants
    Then an operation on a queue of 8000 tenants takes at most 8 times as long as on one of 500
    And no state is left once the queue is empty

  Scenario: What callers get does not collapse under 10 times the load
    When the load of deployment one is played at 1,2,3,10 times its usual rates
    Then goodput at 10 times is at least 0.9 of the best
    And each class gets at least 1 in 20 of the starts at 3 and 10 times
    And no refusal comes later than the time at which the request had to start
    And displaced requests are told when to come back
    And callers are told to come back the costliest first, and not all at once

  Scenario: Service is normal within 3 s after a peak
    When a peak of 10 times the usual load lasts from second 10 to second 20
    Then 3 s after the peak each class is served as before it

  Scenario: One function computes the cost of delay
    Then the cost of delay rises with what callers lose and falls with the work

  Scenario: The order by cost is used only if the preset asks for it
    Then a preset with the order "cost" orders the queue of the gate by it

  Scenario: The cost of delay with ageing is the only order that serves every class at 10 times the load
    Then of the four orders only "cost" serves every class and does not collapse

  Scenario: When all gates refuse, few requests are sent to further gates, and the others wait where they are
    Given a node whose preset allows half a redirect for each request
    When 200 requests are sent while every gate refuses
    Then the gates got at most 310 attempts, not 4 for each request
    And an attempt that can't be redirected has no limit on its wait but the due time
    And every caller was told that its request has not run
