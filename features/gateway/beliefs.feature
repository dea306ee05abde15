Feature: What a gateway believes follows the store and never goes back

  Scenario: A newer configuration is in force within the operator's bound
    Given a site with 1 plain server and a ready gateway
    When the operator takes the key away in a newer version
    Then a caller is refused with 401 within 2000 ms

  Scenario: An older configuration changes nothing
    An old copy of the store, or a peer that was away, offers a version below the one in force.
    Given a site with 1 plain server and a ready gateway
    When the store shows a version below the one in force without the key
    Then a caller is still served

  Scenario: A configuration that can not be read changes nothing
    Given a site with 1 plain server and a ready gateway
    When the store shows a configuration that makes no sense
    Then a caller is still served
    And the gateway has logged "servingConfigurationRejected"

  Scenario: The store is down and all entries lapse
    An outage must not take all capacity out of service: entries lapse while nobody can renew them,
    and are back a moment after the store's return.
    Given a site with 2 plain servers and a ready gateway
    When the store is down and returns without its entries, and these come back
    Then every caller was served meanwhile

  Scenario: A server that is leaving gets nothing new
    Given a site with 2 plain servers and a ready gateway
    When the first server says that it leaves
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
    Callers use their open connections on and on. Each is told with an answer that the connection
    ends; idle ones are closed when the balancer sends nobody any more. A gateway that waited for the
    callers would be killed with requests under way.
    Given a site with 1 plain server that takes 50 ms and a ready gateway
    When the gateway is told to stop while 3 callers ask on open connections
    Then no answer was broken off
    And the gateway ends by itself with code 0
