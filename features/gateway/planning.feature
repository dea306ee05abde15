Feature: Plans of replicas, driven without sockets

  Scenario: No plan gives an instance to two groups
    Two heads that count on one instance would both accept requests, and one of them would serve
    nobody. Whatever instances report, and whichever of them are lost, slow or leaving.
    When 400 random fabric domains are planned for several rounds
    Then no plan has an instance in two groups
    And each new group has the size of its model and members that reported no group
    And a head is told to open only when every member is ready in just this forming

  Scenario: An instance that still reports a group leaves it before it joins another
    A gateway that had lost the store sent joins of a plan that others had replaced. The next planner
    took the head, ready in a group that no plan had, for free; a moment later that group was open.
    Given a domain whose plan is empty and an instance that is ready in an unknown group
    When the domain is planned
    Then the instance is told to leave and is in no group of the plan

  # The store has come back from a copy from before the plan that the replica was formed by.
  Scenario Outline: A replica was formed under a plan that the store has lost, and <members> of it are there
    Given a plan with "fabric.2" of "a" and "b", and <members> of "fabric.5" of "a" and "c" that report it
    When the domain is planned
    Then its replicas are "<replicas>", and <leaving> is told to leave one
    And the next epoch is above 5

    Examples:
      | members      | replicas | leaving |
      | both members | fabric.5 | nobody  |
      | its head     | fabric.2 | the head |

  Scenario: The instances of all domains are split by the shares of the models
    Given 6 domains of 10 instances, and models of 4 and of 2 with equal shares
    When they are split
    Then no domain is promised more instances than it has
    And the failure domains differ by one group of the large model at most
