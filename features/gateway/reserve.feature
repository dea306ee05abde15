Feature: Weights are kept on enough hosts to form each model's replicas again, tested without a network

  # Guards against a model that can never be formed again: members that joined from the copy on their host
  # hold one model only, and each change of the targets left fewer instances for the other one.
  Scenario: The instances that hold the large model have been used for the small one
    Given a domain of 8 instances in groups of the small model, 3 of which hold the large one too
    When the domain with a target of 1 large group is planned
    Then 2 members are ordered to stage the large model
    And no member is ordered to stage a model that it holds
    And the domain asks for 2 loads

  # Guards against loads without end, which are billed and take the capacity of the weight store.
  Scenario: Enough instances hold each model
    Given a domain of 8 instances in groups of the small model, 5 of which hold the large one too
    When the domain with a target of 1 large group is planned
    Then 0 members are ordered to stage the large model
    And the domain asks for 0 loads

  Scenario: No group of the large model is wanted
    Given a domain of 8 instances in groups of the small model, 0 of which hold the large one too
    When the domain with a target of 0 large groups is planned
    Then 0 members are ordered to stage the large model
    And the domain asks for 0 loads
