Feature: Domains share the loads of weights of a service, tested without a network

  # Guards against a limit of the fleet that each domain rounds up: with more domains than loads, all of
  # them load at once.
  Scenario Outline: <domains> domains have new instances, and <total> loads may run at once
    Given <domains> domains with 4 instances without weights each
    When their load slots are computed for <total> loads at once
    Then the domains may run <used> loads together

    Examples:
      | domains | total | used |
      | 3       | 7     | 7    |
      | 6       | 7     | 7    |
      | 1       | 7     | 4    |
      | 40      | 95    | 95   |
      | 76      | 20    | 20   |
      | 170     | 20    | 20   |

  # Guards against loads that wait although no other domain has any.
  Scenario: New instances come in one domain of six
    Given 1 domain with 7 instances without weights each
    And 5 domains whose instances all have weights
    When their load slots are computed for 7 loads at once
    Then the first domain may run 7 loads

  Scenario: A domain has instances with the weights of another model only
    Given 1 domain with 4 free instances that have the weights of the small model only
    And 5 domains with 4 instances without weights each
    When their load slots are computed for 7 loads at once
    Then each domain may run a load
    And the domains may run 7 loads together

  # Guards against domains that never get a slot while there are more of them than loads at once.
  Scenario: Each of many domains has its turn
    Given 40 domains with 3 instances without weights each
    When loads of at most 7 at once are run until none is left
    Then all instances have weights after 18 rounds of loads

  # Guards against a service that is never served again once no instance has weights: weights are loaded
  # for planned replicas only.
  Scenario: No instance of a service has weights left
    Given 2 domains with 4 instances without weights each
    When their replicas are planned during traffic
    Then each domain is to have replicas

  Scenario: One domain still has weights
    Given 1 domain with 7 instances without weights each
    And 1 domain whose instances all have weights
    When their replicas are planned during traffic
    Then only the last domain is to have replicas

  # Guards against a domain that never loads again: without weights for one replica it has no targets, and loads
  # were ordered for targets only.
  Scenario Outline: A domain has <instances> instances without weights, and another has weights
    Given 1 domain with <instances> instances without weights each
    And 1 domain whose instances all have weights
    When their replicas are planned during traffic
    Then the first domain loads the small model on <loads> instances

    Examples:
      | instances | loads |
      | 7         | 7     |
      | 2         | 2     |
      | 1         | 0     |
