Feature: Owners of a fabric domain against a platform and engines that fail

  Scenario: The answer to every other write is lost after its effect
    # The platform stores the plan and the answer never comes. An entry that wrote again would take
    # the domain from itself or form the replica twice; one that gave up would leave it unformed.
    Given 4 engines and a platform that loses the answers to the next 5 writes
    When one entry runs
    Then its replica of 3 serves, and the domain was taken once

  Scenario: Two entries race for the same domain
    # Both start at the same moment, neither has heard of the other.
    Given 4 engines and a platform
    When two entries run
    Then its replica of 3 serves, and only one entry gave orders

  Scenario: An owner is held up between storing a plan and giving its orders
    # The plan is stored, and the owner hears of it only after its lease is over. By then another has
    # taken the domain over and formed the replica; orders of the first would tear it apart.
    Given 4 engines that ignore numbers and a platform that holds up the first plan's writer
    When two entries run
    And the other entry has taken over and its replica of 3 serves
    And the first entry is let go on
    Then the first entry gives no order and the replica goes on serving

  Scenario: The watch of an entry that is far from owning the domain goes silent
    # The connection of its watch brings nothing any more. It went by the plan of before until the
    # watch's longest wait was over, and sent no request to the replicas that were formed meanwhile.
    # An owner renews its lease in the plan, so that a watch without news for so long is no contact.
    Given 4 engines and a platform
    When one entry runs
    And another entry runs that many others come before as owners
    And its replica of 3 serves
    And the watches under way go silent
    Then the other entry has the newest plan within two leases

  Scenario: An owner that stops gives its domain away at once
    # An entry is replaced. Until its lease is over nobody plans for its domain: a member that dies
    # meanwhile keeps its replica out of service for a whole lease.
    Given 4 engines, a platform, and leases of 120 seconds
    When one entry runs
    And its replica of 3 serves
    And it hands over and another entry runs
    Then the other entry owns the domain before the lease is over and the replica was not ordered again
