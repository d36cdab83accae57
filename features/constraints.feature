Feature: Where a request may go, and how much a cold target gets

  Scenario: A target outside the allowed regions is never chosen, even if no other is left
    Given targets in both regions, of which only those of the south are allowed
    Then only targets of the south can be chosen
    And two more attempts may go there, but no fourth one
    When no target of the south accepts requests
    Then no target can be chosen

  Scenario: A target of an evacuated zone is never chosen, even if no other is left
    Given targets in both regions
    When zone hn-a is evacuated
    Then only targets of the other zones can be chosen
    And the decision record counts the targets that each constraint excluded
    When every other zone is evacuated too
    Then no target can be chosen

  Scenario: A preference is dropped when no target would satisfy it
    Given targets in both regions
    When every target has been unreachable
    Then each of them can be chosen

  Scenario: What a node knows of an evacuation never goes back, whatever arrives late
    Then on generated histories of records, gossip and logs restored from an older copy, the newest record of a zone holds

  Scenario: A gate in an evacuated zone refuses new and waiting requests and lets running ones end
    Given a gate with one slot, one running request and one that waits
    When the zone of the gate is evacuated
    Then the waiting request is refused as not run, and the running one ends
    And the next request is refused as not run
    And a request that got its slot before is not sent
    When the zone of the gate is opened again
    Then the gate lets through no more than a cold target may get
    And it lets through all once its target says that it is warm

  Scenario: No second holds more requests than a cold target may get, whatever restarts
    Then on generated histories of arrivals, starts, reports and restarts of the gate, no second holds more than 1.5 times the cold rate and 8 requests

  Scenario: A late status report does not end the cold phase of a target
    Given a target that says in a health answer that it stays cold for 3 s
    When a report from before says that it is warm
    Then the target is still cold
    When it says in a health answer that it is warm
    Then the target is warm

  Scenario: The limit that a target names and that of its cold phase do not lift each other
    Given a target that is cold and names a limit
    Then the lower limit binds, and each of them stays when the other ends
