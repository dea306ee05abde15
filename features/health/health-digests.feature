Feature: Entries pass on what they hear of the engines that they probe

  Scenario: What is passed on says what the engine said
    # An entry that does not probe an engine itself would send a caller to a replica that is not
    # whole, if it restored a report that the engine never gave: one of another start, another
    # number or another rank.
    When 500 random reports of one replica's engines are passed on
    Then each that arrives is the one that its engine gave

  Scenario: A dead member is out of service at an entry that does not probe it
    # A member dies. Only its prober notices; callers at the other entries would still be sent to
    # the replica until its reports there are too old.
    Given an entry that knows a replica of 3 from the digests of its probers alone
    When a prober's digest calls one member failing
    Then the replica is out of service there at once
    And the entry asks that member itself
    But it does not ask again at the pace of the prober

  Scenario: One entry's cut link takes a replica out of service nowhere else for long
    # The link between a prober and an engine is cut, the engine is well. The prober goes on to call
    # it failing in every digest. The others ask the engine themselves and believe what it says.
    Given an entry that knows a replica of 3 from the digests of its probers alone
    When a prober's digest calls one member failing
    And the entry's own probe of that member succeeds
    And the prober's next digest still calls it failing
    Then the replica is in service there

  Scenario: A replica is in service at an entry only as long as its probers are heard
    # The probers and a member fail together, so nobody tells. What the entry holds grows old.
    Given an entry that knows a replica of 3 from the digests of its probers alone
    When nothing more is heard of the probers
    Then the replica is out of service there within the freshness bound
    And the entry asks all members itself before that

  Scenario: A passed place counts only under the plan that it was held in
    # The plan changed while a digest was under way. Its number no longer stands for the members
    # that this entry knows, and must not vouch for them.
    Given an entry that knows a replica of 3 from the digests of its probers alone
    When the entry's plan moves on to another number
    And the same digests arrive again
    Then no member's report there is of the new number

  Scenario: An entry that was paused tells nobody that its probes failed
    # An entry is paused for seconds. On waking its probes are past their timeouts, and the digests
    # that waited in its sockets look fresh. Were either believed, healthy replicas would go out of
    # service at every entry, or a dead one would stay in service at this one.
    Given the exchange of an entry that asked an engine and was then paused for 3000 ms
    Then it counts that probe as unknown, and a later one as any
    And a digest that waited meanwhile teaches it nothing

  Scenario: A digest that does not fit leaves engines out and never breaks off
    When an entry composes its digest of 400 engines within 1500 characters
    Then the digest is valid, names some engines and is no longer than that

  Scenario: An engine whose report has not changed sends it once
    # Probes are most of what control costs. A second probe must still tell that the engine lives,
    # and a restarted process at the same address must not be taken for the one before.
    Given an engine that is probed through a client that counts bytes
    When it is probed again without any change
    Then the second report is the same and took less than two thirds of the bytes
    When another start of the engine takes its address
    Then the next probe brings the other start's report
