Feature: Limits of workspaces

  Rule: The shares of all entries never add up to more than the limit

    # Guards against two entries using the same part of the limit, such as a newcomer too early or a
    # lender before the borrower's lease has expired.
    Scenario: Limit shares under loss, delay, joins, cuts and pauses
      Given 120 histories of a fleet of entries with random faults
      Then the limit shares never add up to more than the whole limit

    # Guards against an isolated entry using more than its guaranteed part.
    Scenario: An entry without news falls back to a smaller limit share
      Given 9 entries that have split a limit
      When one entry hears neither the platform nor its peers for 40 seconds
      Then its limit share is the guaranteed part of one entry
      And the limit shares never add up to more than the whole limit

    # Guards against entries falling back to their guaranteed parts although only the platform is down.
    Scenario: An outage of the platform alone leaves the limit shares whole
      Given 9 entries that have split a limit
      When the platform of the limited entries is unavailable for 120 seconds
      Then the limit shares added up to more than 0.95 of the limit all that time

    # Guards against partitioned entries confirming an outdated list to each other while the others
    # already divide the limit by fewer.
    Scenario: Entries that hear only each other fall back to a smaller limit share
      Given 9 entries that have split a limit
      When 2 entries are partitioned from the others and the list drops them for 60 seconds
      Then the limit shares never add up to more than the whole limit

    # Guards against a listed entry taking its part before any other entry knows of it.
    Scenario: An entry that no other knows takes no part of the limit from the rest
      Given 9 entries that have split a limit
      When they lose the platform and a new entry reaches it but none of them for 60 seconds
      Then the limit shares never add up to more than the whole limit

    # Guards against new entries refusing callers because they have hardly any share yet.
    Scenario: Replacing all entries under load refuses hardly anyone for a limit
      Given 9 entries that have split a limit
      When each is replaced under a new name, one every 10 seconds, with half of the limit in demand
      Then less than 0.01 of that demand was above the limit shares
      And the limit shares never add up to more than the whole limit

    # Guards against an expired loan being used before the entry's first update after the pause.
    Scenario: A paused entry that wakes does not use a limit share that was lent to it
      Given 9 entries that have split a limit
      When only one entry has demand for 10 seconds and is then paused for 5 seconds
      Then its first admission after waking goes by the limit share that it has without loans

    # Guards against a restarted process using a part that its predecessor has lent.
    Scenario: A lender that restarts under its name does not use the limit share that it had lent
      Given 9 entries that have split a limit of which 0.95 is guaranteed
      When only one entry has demand for 10 seconds
      And all other entries restart under their names
      Then the limit shares never add up to more than the whole limit

    # Guards against a delayed grant whose lease looks fresh on the clock of a restarted process.
    Scenario: A loan to an earlier start of an entry is ignored
      Given 9 entries that have split a limit
      When a loan arrives that names an earlier start of the entry
      Then the limit share of that entry has not grown

    Scenario: Limit shares follow demand
      Given 9 entries that have split a limit
      When only one entry has demand for 10 seconds
      Then that entry may use more than 0.9 of the limit
      And the limit shares never add up to more than the whole limit

    Scenario: Limit shares are whole when all entries have demand
      Given 9 entries that have split a limit
      Then the limit shares add up to more than 0.95 of the limit

  Rule: A refusal names a time at which the request would be admitted

    # Guards against a Retry-After that is too short, so that callers are refused repeatedly.
    Scenario: Whoever comes back at the time of Retry-After is admitted
      Given random series of requests against a limit share
      Then every request refused for its rate is admitted when it alone comes back after that time
      And the admitted requests stay within the limit share's rates and count

    Scenario: Tokens that were reserved and not used are given back to the limit
      Given a limit share of 100 tokens a second of which 100 are reserved
      When the request ends after 20 tokens
      Then a request of 80 tokens is within the limit at once
