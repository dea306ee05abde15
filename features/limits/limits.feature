Feature: Limits of workspaces

  Rule: The shares of all entries never add up to more than the limit

    # A workspace is billed for 1,000 requests a second and is suddenly served 1,300. Entries join
    # and leave the platform's list while others see it late or not at all, are paused and wake, and
    # lose, delay, double and reorder what they tell each other. Cause would be two entries that use
    # the same part of the limit: a newcomer too early, or a lender before the borrower's lease ended.
    Scenario: Limit shares under loss, delay, joins, cuts and pauses
      Given 120 histories of a fleet of entries with random faults
      Then the limit shares never add up to more than the whole limit

    # An entry is cut off from the platform and from its peers. The others go on; nobody may count on
    # its part, and it may not use more than what is its own without any news.
    Scenario: An entry without news falls back to a smaller limit share
      Given 9 entries that have split a limit
      When one entry hears neither the platform nor its peers for 40 seconds
      Then its limit share is the guaranteed part of one entry
      And the limit shares never add up to more than the whole limit

    # The platform's store is down for minutes. Nothing else has failed, and a lorry at the gate is
    # refused because every entry, for want of the platform's word, uses a quarter of its part.
    Scenario: An outage of the platform alone leaves the limit shares whole
      Given 9 entries that have split a limit
      When the platform of the limited entries is away for 120 seconds
      Then the limit shares added up to more than 0.95 of the limit all that time

    # Two entries are cut off from the platform and from all others, but not from each other. The
    # platform takes them off its list and the others divide by fewer, while the two take each
    # other's word for a list that has long changed.
    Scenario: Entries that hear only each other fall back to a smaller limit share
      Given 9 entries that have split a limit
      When 2 entries are parted from the others and the list drops them for 60 seconds
      Then the limit shares never add up to more than the whole limit

    # All entries lose the platform and go on by each other's word. A new one reaches the platform and
    # none of them: nobody makes room for it, and it finds itself listed all the same.
    Scenario: An entry that no other knows takes no part of the limit from the rest
      Given 9 entries that have split a limit
      When they lose the platform and a new entry reaches it but none of them for 60 seconds
      Then the limit shares never add up to more than the whole limit

    # All entries are replaced, one every ten seconds, while callers ask for half of their limit. The
    # callers that the balancer gives to a new entry are refused, for it has hardly a share yet.
    Scenario: Replacing all entries under load refuses hardly anyone for a limit
      Given 9 entries that have split a limit
      When each is replaced under a new name, one every 10 seconds, with half of the limit in demand
      Then less than 0.01 of that demand was above the limit shares
      And the limit shares never add up to more than the whole limit

    # An entry borrows a part of the limit, is paused for longer than the loan lasts, and serves its
    # first request after waking before any of its loops has run.
    Scenario: A paused entry that wakes does not use a limit share that was lent to it
      Given 9 entries that have split a limit
      When only one entry has demand for 10 seconds and is then paused for 5 seconds
      Then its first admission after waking goes by the limit share that it has without loans

    # An entry that has lent nearly all of its part is replaced under its own name. The new process
    # knows nothing of the loans and would use the same part a second time.
    Scenario: A lender that restarts under its name does not use the limit share that it had lent
      Given 9 entries that have split a limit of which 0.95 is guaranteed
      When only one entry has demand for 10 seconds
      And all other entries restart under their names
      Then the limit shares never add up to more than the whole limit

    # A grant was on its way while its borrower was replaced under its own name. By the new process's
    # clock the lease looks fresh, while the lender has long counted on the part again.
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

    # A caller that is told to come back in two seconds comes back then and is refused again, and
    # again: each time the wait was told too short.
    Scenario: Whoever comes back at the time of Retry-After is admitted
      Given random series of requests against a limit share
      Then every request refused for its rate is admitted when it alone comes back after that time
      And the admitted requests stay within the limit share's rates and count

    Scenario: Tokens that were reserved and not used are given back to the limit
      Given a limit share of 100 tokens a second of which 100 are reserved
      When the request ends after 20 tokens
      Then a request of 80 tokens is within the limit at once
