Feature: A backend server in need gets no more than it asks for

  # Guards against gateways that send an overloaded server more than the rate that it names.
  Scenario Outline: Gateways keep to the limit that a server of <kind> names
    Given a site with <servers> servers of <kind> and 3 ready gateways
    And the first of them that serves names a limit of 1 request a second
    When callers send 24 requests a second to the gateways in turn for 9 s
    Then from 3 s on it gets at most 11 requests in any 4 s
    And it still gets requests
    And all requests were answered

    Examples:
      | kind    | servers |
      | calls   | 3       |
      | streams | 6       |

  # Guards against a limit that outlives its need.
  Scenario: A server that no longer names a limit gets its part again
    Given a site with 3 servers of calls and 3 ready gateways
    And the first of them that serves names a limit of 1 request a second
    When callers send 24 requests a second to the gateways in turn for 5 s
    And it names no limit any more
    Then it gets 80 of 384 requests of callers within 4 s again
