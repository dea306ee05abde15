Feature: Owners of a fabric domain against a platform and engines that fail

  Scenario: The answer to every other write is lost after its effect
    # Guards against an entry that, after a lost write response, forms the replica twice or not at all.
    Given 4 engines and a platform that loses the answers to the next 5 writes
    When one entry runs
    Then its replica of 3 serves, and the domain was taken once

  Scenario: Two entries race for the same domain
    # Both start at the same time and do not know of each other.
    Given 4 engines and a platform
    When two entries run
    Then its replica of 3 serves, and only one entry sent orders

  Scenario: An owner is held up between storing a plan and giving its orders
    # Guards against late orders of an expired owner that break the replica formed by the new owner.
    Given 4 engines that do not check fencing tokens and a platform that delays the first plan's writer
    When two entries run
    And the other entry has taken over and its replica of 3 serves
    And the first entry resumes
    Then the first entry sends no orders and the replica keeps serving

  Scenario: The watch of an entry that is far from owning the domain goes silent
    # Guards against an entry that keeps an outdated plan, and sends nothing to new replicas, until the
    # longest wait of a broken watch is over.
    Given 4 engines and a platform
    When one entry runs
    And another entry runs with many higher-ranked owner candidates
    And its replica of 3 serves
    And the open watches stop responding
    Then the other entry has the newest plan within two leases

  Scenario: An owner that stops gives its domain away at once
    # Guards against a domain without an owner until the lease of a stopped entry expires.
    Given 4 engines, a platform, and leases of 120 seconds
    When one entry runs
    And its replica of 3 serves
    And it hands over and another entry runs
    Then the other entry owns the domain before the lease is over and the replica was not ordered again
