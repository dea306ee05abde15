Feature: A request that ends the servers which run it is kept from the others

  # Servers ended one after the other, each some 0.3 s after requests had been sent on from the last:
  # dozens under one request, and callers whose answers broke off with them. Its caller came back with
  # new attempts, at any gateway.
  @known-red
  Scenario Outline: A request that ends each server comes again at every gateway, as <what>
    Given a site with 12 servers of <what> that end under one request, and 3 ready gateways
    When its caller sends it every 200 ms for 8000 ms, at one gateway after the other
    Then it reached servers at most 3 times later than 3000 ms after the third had ended under it
    And another request of the caller is answered at each gateway

    Examples:
      | what    |
      | calls   |
      | streams |
