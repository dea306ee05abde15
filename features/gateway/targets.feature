Feature: How many replicas of each model the domains of a service are to have, tested without a network

  # Guards against replicas that are planned and drained again and again before they open: members that joined
  # replicas of another model counted as replicas of their former one.
  Scenario Outline: Engines join replicas of another model than before
    Given <others> domains of 8 instances whose last model was the small one
    And a domain with a large replica and 4 free instances whose last model was the large one
    When the free ones join replicas of the small model
    Then each domain is to have the replicas that it was to have before
    When their heads are ready
    Then each domain is to have the replicas that it was to have before

    Examples:
      | others |
      | 1      |
      | 2      |
      | 5      |
