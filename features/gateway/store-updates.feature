Feature: A gateway follows the store and never returns to an older state

  Scenario: A newer configuration is in force within the operator's bound
    Given a site with 1 plain server and a ready gateway
    When the operator revokes the key in a newer version
    Then a caller is refused with 401 within 2000 ms

  Scenario: An older configuration changes nothing
    # A restored store or a peer that was disconnected may offer an older version.
    Given a site with 1 plain server and a ready gateway
    When the store returns a version below the active one without the key
    Then a caller is still served

  Scenario: A configuration that can not be read changes nothing
    Given a site with 1 plain server and a ready gateway
    When the store returns an invalid configuration
    Then a caller is still served
    And the gateway has logged "servingConfigurationRejected"

  Scenario: The store is down and all entries lapse
    # Entries that expire because an outage prevents their renewal must not take servers out of service.
    Given a site with 2 plain servers and a ready gateway
    When the store is down and returns without its entries, and these come back
    Then every caller was served meanwhile

  Scenario: A server that is leaving gets nothing new
    Given a site with 2 plain servers and a ready gateway
    When the first server announces that it is leaving
    Then no request reaches it later than 2000 ms after that

  Scenario: The store forgets its history
    Given a site with 1 plain server and a ready gateway
    When the store drops its history and a second server appears
    Then requests reach the second server

  Scenario: A gateway stops while it answers
    Given a site with 1 plain server that takes 1500 ms and a ready gateway
    When the gateway is told to stop while a request is under way
    Then the answer is 200, whole and signed by the server that ran it
    And the gateway ends by itself with code 0

  Scenario: A gateway stops while callers keep their connections open
    # A gateway must close keep-alive connections itself; waiting for the callers to do so would get
    # it killed with requests in flight.
    Given a site with 1 plain server that takes 50 ms and a ready gateway
    When the gateway is told to stop while 3 callers ask on open connections
    Then no answer was broken off
    And the gateway ends by itself with code 0
