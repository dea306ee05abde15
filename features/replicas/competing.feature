Feature: Models that compete for the same instances

  Scenario: A model does not take the replicas of an equally important one
    # Guards against a new model, first by name, that displaces the replicas of the old one in a full
    # domain, which would only move the shortage.
    Given a domain of 6 instances that serves 2 replicas of "pass-assistant" with three members each
    When "helpline" with importance 50 requests 2 replicas with three members each
    Then the domain is assigned 2 replicas of "pass-assistant" and 0 of "helpline"

  Scenario: A more important model takes what it needs
    Given a domain of 6 instances that serves 2 replicas of "pass-assistant" with three members each
    When "helpline" with importance 51 requests 1 replica with three members each
    Then the domain is assigned 1 replica of "pass-assistant" and 1 of "helpline"
