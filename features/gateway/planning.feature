Feature: Plans of replicas, tested without a network

  Scenario: No plan gives an instance to two groups
    Guards against two heads that accept requests for the same member, whatever instances report.
    When 400 random fabric domains are planned for several rounds
    Then no plan has an instance in two groups
    And each new group has the size of its model and members that reported no group
    And a head is ordered to open only when every member is ready in the same epoch

  Scenario: An instance that still reports a group leaves it before it joins another
    Guards against a planner that takes an instance for free while it is ready in an unknown group.
    Given a domain whose plan is empty and an instance that is ready in an unknown group
    When the domain is planned
    Then the instance is ordered to leave and is in no group of the plan

  # The store was restored from a copy older than the plan that the replica was formed by.
  Scenario Outline: A replica was formed under a plan that the store has lost, and <members> of it are there
    Given a plan with "fabric.2" of "a" and "b", and <members> of "fabric.5" of "a" and "c" that report it
    When the domain is planned
    Then its replicas are "<replicas>", and <leaving> is ordered to leave one
    And the next epoch is above 5

    Examples:
      | members      | replicas | leaving |
      | both members | fabric.5 | nobody  |
      | its head     | fabric.2 | the head |

  Scenario Outline: An entry names the highest epoch there is
    Guards against epochs that are no longer exact, so that later groups share one and no plan is readable.
    Given <engines> engines without a group, and an entry of an open group of the highest epoch for a model of 1
    When the domain is planned
    And the domain is planned again
    Then the plan has <groups> groups with epochs of their own and can be read again

    Examples:
      | engines | groups |
      | 2       | 1      |
      | 4       | 2      |

  Scenario: The instances of all domains are split by the shares of the models
    Given 6 domains of 10 instances, and models of 4 and of 2 with equal shares
    When they are split
    Then no domain is assigned more instances than it has
    And the failure domains differ by one group of the large model at most
