Feature: A stopping gateway starts no request that would outlast it, whatever held the request up

  # Guards against holding a request that waits for a retry until the wait is over, although the gateway
  # can no longer start it: the caller loses time in which another gateway answers it.
  Scenario: A request waits for the retry budget when its gateway is told to stop
    Given a gateway with 3 plain servers, an empty retry budget and 20 requests a second
    When a request that must not run twice is refused by its server
    And the gateway is told to stop with a grace of 2000 ms
    And 600 ms pass without other requests
    Then the caller has no answer yet
    When 200 ms pass without other requests
    Then the caller is told that the gateway stops
    And the request was sent to 1 servers

  # Guards against writing a request that may run once to a connection that opens so late in the grace
  # that the answer would come after it. The last moment was computed before the gateway was told to stop.
  Scenario Outline: The connection for a request opens <ms> ms after its gateway was told to stop
    Given a gateway with 1 plain servers, a free retry budget and 20 requests a second
    When a request that must not run twice is sent and its connection takes long to open
    And the gateway is told to stop with a grace of 2000 ms
    And the connection opens <ms> ms later
    Then the request is <outcome>

    Examples:
      | ms   | outcome                             |
      | 600  | written                             |
      | 800  | not written, and refused as not run |
      | 1400 | not written, and refused as not run |
