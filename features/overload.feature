Feature: Under overload, tenants share a gate fairly and the least costly work waits

  Scenario: A tenant with 7.5 times its load and impatient callers takes only what others leave
    When one of 4 tenants sends 7.5 times its usual load and retries at once
    Then at least 0.9 of the requests of the other tenants are answered in time
    And all slots stay in use

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
