Feature: Tenants and their keys

  Scenario: The tenant is decided for each request by its key, never by what the caller says of itself
    Given a preset with two tenants and a public route
    Then a request belongs to the tenant of its key, whatever tenant its headers name
    And a request without a key, or with an unknown one, is refused as not run
    And a request on the public route needs no key, and keeps the tenant of one that it names

  Scenario: A key that moves to another tenant, or is withdrawn, counts by the preset in force
    Given a preset with two tenants and a public route
    When the next preset moves a key to the other tenant and withdraws another key
    Then requests with the moved key belong to the other tenant
    And requests with the withdrawn key are refused as not run

  Scenario: Allowed regions of route and tenant both bind
    Then a request may go only to regions that both its route and its tenant allow, possibly none

  Scenario: A preset is rejected if a key identifies two tenants, and no finding shows a key
    Then presets with a shared, an empty or a malformed key are rejected without showing it

  Scenario: A preset without tenants is served as before
    Then requests need no key, and their headers name the tenant
