Feature: A gateway that starts while the store is away learns from those that run

  Scenario: All gateways that know the configuration are stopping
    # Gateways are stopped in turn, faster than a stop takes, while the store is away. Those that come
    # back first refuse all callers until the store returns: every gateway that could tell them the
    # configuration is still finishing its requests, and whoever stops is no source any more.
    Given a gateway that is ready, and one more that is to start
    And the store is away
    When the first is told to stop and the other one starts
    Then the other one serves callers before the first has ended

  Scenario: A gateway that knows nothing yet asks at once
    # A gateway is killed and starts again while the store is away. It hears others after 100 ms and
    # then waits for news that may be on their way, as one that runs does; it refuses its callers
    # meanwhile, and has just missed the balancer's question.
    Given a gateway that has just started and hears of a configuration every 100 ms
    Then it fetches the configuration from another gateway within 100 ms

  Scenario: The store is away at the moment at which gateways make themselves known
    # Two gateways start while the store does not answer, and have no seeds that live. Each writes and
    # reads once who there is, in vain. When the store is back they serve, but never hear of each other:
    # both plan, and each counts only its own requests at the backend servers.
    Given the store is away before two gateways start that know of nobody
    When the store is back
    Then they hear of each other
