Feature: Instances are shared between models by observed demand, tested without a network

  # Guards against a surge for one model that finds its replicas full while half of the instances stand
  # in replicas of another model that few ask for.
  Scenario: Most requests are for the small model
    Given 222 instances, 21 slots, and models of 16 and of 4 with equal shares
    When for 10 s 36 requests are in flight at the large model and 567 at the small one
    Then the small model gets at least 850 of 1000 slots that its demand of 900 would take
    And the large model keeps at least 2 replicas

  # Guards against a model that can not be served at all when its first request arrives.
  Scenario: Nobody asks for the large model
    Given 222 instances, 21 slots, and models of 16 and of 4 with equal shares
    When for 60 s 0 requests are in flight at the large model and 500 at the small one
    Then the large model keeps at least 1 replica

  # Guards against a model that gets ever fewer instances because it has ever fewer replicas that requests
  # could be in flight at.
  Scenario: All replicas of the large model have been lost
    Given 222 instances, 21 slots, and models of 16 and of 4 with equal shares
    And 0 replicas of the large model are left
    When for 30 s 0 requests are in flight at the large model and 500 at the small one
    Then the large model keeps at least 2 replicas

  # Guards against a model whose replicas are given away for a demand that lasts a second.
  Scenario: The demand turns within a second
    Given 222 instances, 21 slots, and models of 16 and of 4 with equal shares
    When for 10 s 36 requests are in flight at the large model and 376 at the small one
    And for 1 s 100 requests are in flight at the large model and 100 at the small one
    Then the small model has at least 376 slots
    When for 10 s 36 requests are in flight at the large model and 376 at the small one
    Then the small model has at least 376 slots
    And the large model keeps at least 2 replicas

  # Guards against replicas that are formed and disbanded in turn as the load fluctuates.
  Scenario Outline: The load fluctuates around its mean
    Given 222 instances, 21 slots, and models of 16 and of 4 with equal shares
    When for 120 s the load fluctuates around 36 and 376, seed <seed>
    Then the shares have changed at most 2 times

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  # Guards against a model that loses instances to another one because its replicas are being lost.
  Scenario: Most replicas of the large model are lost under load
    Given 222 instances, 21 slots, and models of 16 and of 4 with equal shares
    And 6 replicas of the large model and 31 of the small one are left
    When for 10 s 60 requests are in flight at the large model and 250 at the small one
    And 2 replicas of the large model and 31 of the small one are left
    And for 10 s 10 requests are in flight at the large model and 250 at the small one
    Then the large model keeps at least 5 replicas

  # Guards against a split that is undone and made again each time another gateway begins to plan.
  Scenario: Another gateway begins to plan after a change of the split
    Given 222 instances, 21 slots, and models of 16 and of 4 with equal shares
    And 5 replicas of the large model and 35 of the small one are left
    When for 2 s 15 requests are in flight at the large model and 250 at the small one
    Then the small model has at least 700 slots

  # Guards against replicas that are disbanded although every model has room.
  Scenario: Every model has room for losses
    Given 222 instances, 21 slots, and models of 16 and of 4 with equal shares
    When for 30 s 20 requests are in flight at the large model and 160 at the small one
    Then the shares have changed at most 0 times

  # Guards against a split that is changed only when the surge is there, and then too late.
  Scenario: The load leaves no room for a surge
    Given 222 instances, 21 slots, and models of 16 and of 4 with equal shares
    When for 10 s 15 requests are in flight at the large model and 250 at the small one
    Then the small model has at least 700 slots

  # Guards against planners that disband each other's replicas because their news differ in age.
  Scenario Outline: Six gateways plan by news of different age
    Given 222 instances, 21 slots, and models of 16 and of 4 with equal shares
    When 6 gateways hear of the load up to 1300 ms late, seed <seed>
    Then their numbers of large replicas differ by at most 1 after 10 s

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against shares that no plan can be made from.
  Scenario Outline: The input is <input>
    Given 222 instances, 21 slots, and models of 16 and of 4 with <input>
    When for 10 s 36 requests are in flight at the large model and 376 at the small one
    Then each share is between 0 and 1 and they add up to 1

    Examples:
      | input                                 |
      | shares of 0                           |
      | shares that add up to 3               |
      | a negative load reported              |
      | no slots                              |
      | a large model of 500                  |
