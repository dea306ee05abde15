Feature: Placing requests of many gateways with late news of each other

  # Noon in a large fleet: 63 gateways share 32 replicas and hear of each other's requests every 630 ms,
  # about as long as an answer takes. Each sends to the replica that looked idle in the last news. All of
  # them do, its queue grows until the next news, and callers wait there while other replicas stand idle.
  # There are 24 places at each of them, of which the load takes 9 on average.
  Scenario Outline: A steady load of many gateways spreads over the replicas
    Given <gateways> gateways that hear of each other every <news> ms
    And <replicas> replicas in 3 failure domains that <rate> requests a second keep busy
    When the load goes on for 20 seconds with seed <seed>
    Then no replica ever has more requests than places

    Examples:
      | gateways | news | replicas | rate | seed |
      | 63       | 630  | 32       | 345  | 1    |
      | 63       | 630  | 32       | 345  | 2    |

  Scenario: A choice among the replicas of 1,700 engines
    Given 212 replicas of a model in 20 failure domains
    When a gateway with late news chooses 1000 times
    Then it compares at most 4 replicas for each request
    And each replica of its own failure domain is chosen

  # The replicas of one's own failure domain are all under suspicion, as when its fabric is lost.
  Scenario: None of those that are drawn can be chosen
    Given 212 replicas of a model in 20 failure domains
    And only one replica of another failure domain can be chosen
    When a gateway with late news chooses 20 times
    Then it chooses that one each time
