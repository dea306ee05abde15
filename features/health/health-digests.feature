Feature: Entries relay the reports of the engines that they probe

  Scenario: What is passed on says what the engine said
    # Guards against restoring a report with the wrong incarnation, fencing token or rank, and thus
    # sending requests to a replica that is not whole.
    When 500 random reports of one replica's engines are relayed
    Then each restored report equals the original

  Scenario: A dead member is out of service at an entry that does not probe it
    # Guards against entries that don't probe a failed member sending requests to its replica until
    # their last report of it expires.
    Given an entry that knows a replica of 3 only from the digests of its probers
    When a prober's digest lists one member as failing
    Then the replica is out of service there at once
    And the entry probes that member itself
    But it does not probe again at the prober's rate

  Scenario: One entry's cut link takes a replica out of service nowhere else for long
    # Guards against a prober that has lost its own link to a healthy engine keeping the replica out
    # of service at entries whose probes succeed.
    Given an entry that knows a replica of 3 only from the digests of its probers
    When a prober's digest lists one member as failing
    And the entry's own probe of that member succeeds
    And the prober's next digest still lists it as failing
    Then the replica is in service there

  Scenario: A replica is in service at an entry only as long as its probers are heard
    # Guards against trusting outdated reports when a member and its probers fail together.
    Given an entry that knows a replica of 3 only from the digests of its probers
    When the probers send no further digests
    Then the replica is out of service there within the freshness bound
    And the entry probes all members itself before that

  Scenario: A passed place counts only under the plan that it was held in
    # Guards against restoring reports from a plan that changed while the digest was in transit.
    Given an entry that knows a replica of 3 only from the digests of its probers
    When the entry's plan changes to another fencing token
    And the same digests arrive again
    Then no member's report there has the new fencing token

  Scenario: An entry that was paused tells nobody that its probes failed
    # Guards against a resumed process reporting its timed-out probes as failures, and accepting
    # digests that waited in its sockets as fresh.
    Given the health extension of an entry that probed an engine and was then paused for 3000 ms
    Then it treats the result of that probe as unknown
    And it ignores digests until its next tick and then accepts probes and digests

  Scenario: A digest that does not fit leaves engines out and never breaks off
    When an entry composes its digest of 400 engines within 1500 characters
    Then the digest is valid, lists some engines and is within that length

  Scenario: An engine whose report has not changed sends it once
    # Guards against probes transferring unchanged reports, and against a restarted engine at the
    # same address being mistaken for the previous process.
    Given an engine that is probed through a client that counts bytes
    When it is probed again without any change
    Then the second report is the same and took less than two thirds of the bytes
    When the engine is restarted at the same address
    Then the next probe returns the report of the new incarnation
