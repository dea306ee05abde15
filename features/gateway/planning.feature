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

  Scenario: The instances of all domains are split by the shares of the models
    Given 6 domains of 10 instances, and models of 4 and of 2 with equal shares
    When they are split
    Then no domain is promised more instances than it has
    And the failure domains differ by one group of the large model at most

  Scenario Outline: Weights go where they let a replica form
    Two instances that replaced lost ones got the weights of two models, one each, and served nobody
    for the rest of the day.
    Given a domain where <idle> idle instances have the weights of "<model>" and <bare> have none
    When the domain is planned
    Then the weights of "<loaded>" are brought to <loads> of them

    Examples:
      | idle | model | bare | loaded | loads |
      | 0    | large | 2    | small  | 2     |
      | 3    | large | 1    | large  | 1     |
      | 1    | small | 1    | small  | 1     |
      | 0    | small | 4    | large  | 4     |
      | 2    | large | 2    | large  | 2     |

  Scenario: Domains share the loads that the weight store bears
    More loads at once make each slower, and none of the replicas that wait for them forms early.
    Then whatever instances lack weights, all domains together load at most what it bears
    And a domain gets as many as it has instances without weights before another gets more
