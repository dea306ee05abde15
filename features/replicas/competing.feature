Feature: Models that compete for the same instances

  Scenario: A model does not take the replicas of an equally important one
    # An operator adds a model to a domain that is full. Both are equally important, and the new one's
    # name comes first. Callers of the old model would lose every replica at once, for nothing: taking
    # whole replicas apart only moves the shortage to the other model and costs the forming.
    Given a domain of 6 instances that serves 2 replicas of "pass-assistant" in threes
    When "helpline" with importance 50 wants 2 replicas in threes as well
    Then the domain is to have 2 replicas of "pass-assistant" and 0 of "helpline"

  Scenario: A more important model takes what it needs
    Given a domain of 6 instances that serves 2 replicas of "pass-assistant" in threes
    When "helpline" with importance 51 wants 1 replica in threes as well
    Then the domain is to have 1 replica of "pass-assistant" and 1 of "helpline"
