Feature: Entries know each other and who is leaving
  Entries exchange digests by gossip. Information spreads to all of them within seconds, and the
  traffic of an entry does not grow with the fleet.

  Scenario: an engine tells one entry that it is leaving
    Guards against new requests to an engine that has told only one entry that it is stopping,
    before the platform's list shows it.
    Given 4 member entries in 2 failure domains
    And the platform lists engine "engine-1" as live
    When engine "engine-1" tells "entry-1" that it is leaving
    Then "engine-1" is leaving at every member entry
    When the platform lists engine "engine-1" as live again after its restart
    Then "engine-1" is no longer leaving at any member entry

  Scenario: a service instance is stopped only when every entry is done with it
    Guards against reporting a drain as safe while an entry has a call in flight at the instance or
    cannot be reached.
    Given 3 member entries in 3 failure domains
    And the platform lists service instance "office-1" as live
    And "entry-2" has 1 call in flight at "office-1"
    And member entry "entry-3" is cut off from the other entries
    When the operator at "entry-1" drains "office-1"
    Then the drain of "office-1" waits for "entry-2, entry-3" at "entry-1"
    When "entry-2" has 0 call in flight at "office-1"
    And the member entries are connected again
    Then the drain of "office-1" is safe at "entry-1"

  Scenario: an entry that hears nobody asks for its callers to be taken elsewhere
    Guards against serving with outdated configuration: an entry that reaches neither the platform
    nor any peer reports not ready until it is connected again.
    Given 3 member entries in 3 failure domains
    When member entry "entry-2" is cut off from the other entries
    Then member entry "entry-2" stays ready as long as the platform answers
    When member entry "entry-2" is cut off from the platform as well
    Then member entry "entry-2" turns its own readiness off
    When the member entries are connected again
    Then member entry "entry-2" turns its own readiness on

  Scenario: an entry is replaced under its name
    Guards against relayed digests of the previous process overwriting those of the new one, whose
    sequence numbers start again.
    Given 3 member entries in 1 failure domains
    When member entry "entry-2" is replaced under the same name
    Then every other member entry knows the new incarnation of "entry-2" and retains it

  Scenario: a planned stop of an entry
    Guards against configuration changes and drains waiting for a stopped entry until the platform's
    list has been updated.
    Given 3 member entries in 1 failure domains
    When member entry "entry-3" announces its stop and stops
    Then a change made at "entry-1" is accepted though "entry-3" is still listed

  Scenario: few entries watch the platform
    Guards against exceeding the platform's call rate in a large fleet, and against missing changes
    when all watching entries fail.
    Given 6 member entries in 1 failure domains
    Then 2 member entries watch the platform
    When the member entries that watch the platform are lost
    Then 2 member entries watch the platform
    And a change at the platform reaches every member entry

  Scenario: digests that are late, lost, doubled or in the wrong order
    Then digests under any delivery are never taken for newer than they are, and all converge

  Scenario: the bytes of an entry are bounded
    Then rounds never send more than the budget, whatever the number of entries
