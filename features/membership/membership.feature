Feature: Entries know each other and who is leaving
  Each entry learns of the others by digests. What one knows, all know within seconds, at a cost
  that does not grow with the fleet.

  Scenario: an engine tells one entry that it is leaving
    An engine is told by its platform to stop; the list will show that much later. One entry's
    request meets its refusal first. All other entries must send it nothing new as well.
    Given 4 member entries in 2 failure domains
    And the platform lists engine "engine-1" as live
    When engine "engine-1" tells "entry-1" that it is leaving
    Then "engine-1" is leaving at every member entry
    When the platform lists engine "engine-1" as live again after its restart
    Then "engine-1" is no longer leaving at any member entry

  Scenario: a service instance is stopped only when every entry is done with it
    An operator drains an instance. One entry has a check-in in flight there, another can't be
    heard. Stopping the instance now would cut the check-in off.
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
    A switch dies and one entry hears neither the platform nor any other. Its configuration may be
    replaced at any moment. It turns its readiness off, and on again when the switch is back.
    Given 3 member entries in 3 failure domains
    When member entry "entry-2" is cut off from the other entries
    Then member entry "entry-2" stays ready as long as the platform answers
    When member entry "entry-2" is cut off from the platform as well
    Then member entry "entry-2" turns its own readiness off
    When the member entries are connected again
    Then member entry "entry-2" turns its own readiness on

  Scenario: an entry is replaced under its name
    An instance is replaced at once. Digests of the former process still go round for a while. They
    must not be taken for the new one's, whose counts start anew.
    Given 3 member entries in 1 failure domains
    When member entry "entry-2" is replaced under the same name
    Then every other member entry knows the new start of "entry-2" and keeps to it

  Scenario: a planned stop of an entry
    An entry is stopped. Before it goes, others know that it has nothing in flight, so that nothing
    waits for it, and a change of configuration is not held up until the list has noticed.
    Given 3 member entries in 1 failure domains
    When member entry "entry-3" says goodbye and stops
    Then a change made at "entry-1" is accepted though "entry-3" is still listed

  Scenario: few entries watch the platform
    The platform counts each waiting watch as a call, and its rates grow more slowly than the fleet.
    Once the two that watch are lost, others have to take over without being told.
    Given 6 member entries in 1 failure domains
    Then 2 member entries watch the platform
    When the member entries that watch the platform are lost
    Then 2 member entries watch the platform
    And a change at the platform reaches every member entry

  Scenario: digests that are late, lost, doubled or in the wrong order
    Then digests under any delivery are never taken for newer than they are, and all converge

  Scenario: the bytes of an entry are bounded
    Then rounds never send more than the budget, whatever the number of entries
