Feature: Many gateways place requests with delayed reports of their load

  Scenario Outline: A steady load of many gateways spreads over the replicas
    # Guards against herding: gateways with stale load data that all choose the replica that seemed idle.
    Given <gateways> gateways that hear of each other every <news> ms
    And <replicas> replicas in 3 failure domains that <rate> requests a second keep busy
    When the load goes on for 20 seconds with seed <seed>
    Then no replica ever has more requests than places

    Examples:
      | gateways | news | replicas | rate | seed |
      | 63       | 630  | 32       | 345  | 1    |
      | 63       | 630  | 32       | 345  | 2    |

  Scenario Outline: Replicas come and go while news of load are late
    # Guards against a replica that is flooded as it opens, because all gateways still know it as idle.
    Given 74 gateways in 3 failure domains that report to their hub every 770 ms
    And 23 replicas of 21 slots with 350 requests a second, one of which is lost every 1500 ms
    When the fleet is played for 30 seconds with seed <seed>
    Then at least 900 of 1000 requests begin to be answered in time

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: A choice among the replicas of 1,700 engines
    Given 212 replicas of a model in 20 failure domains
    When a gateway with late news chooses 1000 times
    Then it compares at most 4 replicas for each request
    And each replica of its own failure domain is chosen

  Scenario: None of those that are drawn can be chosen
    # All replicas of the gateway's own failure domain are suspected.
    Given 212 replicas of a model in 20 failure domains
    And only one replica of another failure domain can be chosen
    When a gateway with late news chooses 20 times
    Then it chooses that one each time
