Feature: A gateway that starts during an outage of the store learns from its peers

  Scenario: All gateways that know the configuration are stopping
    # During a rolling restart a stopping gateway must still serve its configuration to new ones;
    # without it they would reject all callers until the store returns.
    Given a gateway that is ready, and one more that is to start
    And the store is unavailable
    When the first is told to stop and the other one starts
    Then the other one serves callers before the first has ended

  Scenario: A gateway that knows nothing yet asks at once
    # A gateway without a configuration must not wait for relayed updates as a running one does, since
    # it rejects its callers meanwhile.
    Given a gateway that has just started and learns of a configuration every 100 ms
    Then it fetches the configuration from another gateway within 100 ms

  Scenario: The store is away at the moment at which gateways make themselves known
    # Gateways whose first registration failed must register again. Otherwise they never find each
    # other, both plan replicas, and each counts only its own requests.
    Given the store is unavailable before two gateways without peers start
    When the store is back
    Then they discover each other
