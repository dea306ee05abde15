Feature: Requests that arrive before the first configuration, tested without a network

  # Guards against callers that are rejected by every gateway right after all of them lost power.
  Scenario: The configuration comes shortly after the request
    Given a gateway that has just started
    When a request arrives, and the configuration 200 ms later
    Then the request goes on within 100 ms of the configuration

  # Guards against callers that are held up by a gateway that can't reach the store.
  Scenario: The configuration does not come
    Given a gateway that started 1500 ms ago and has no configuration
    When a request arrives
    Then the request goes on within 20 ms

  Scenario: The configuration is known
    Given a gateway that has just started and has a configuration
    When a request arrives
    Then the request goes on within 20 ms
