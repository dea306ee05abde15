Feature: A backend server is left alone when its answers ask for it

  # Guards against gateways that go on sending to a server that refuses requests and asks for rest.
  Scenario Outline: A server of <kind> refuses requests and asks for rest
    Given a site with <servers> servers of <kind> and 3 ready gateways
    When callers send 24 requests a second to the gateways in turn for 4 s
    And the first of them that serves refuses requests and asks for "<seconds>" s of rest
    And callers send 24 requests a second to the gateways in turn for 9 s
    Then no gateway sends it more than 2 requests while it is to rest
    And all requests were answered

    Examples:
      | kind    | servers | seconds |
      | calls   | 3       | 3       |
      | calls   | 3       | 2.5     |
      | streams | 6       | 3       |

  # Guards against a server at rest that looks like the best one, since the others answer some requests with errors.
  Scenario: A server asks for rest beside others that fail
    Given a site with 3 servers of calls and 3 ready gateways
    And the first of them that serves refuses requests and asks for "3" s of rest
    And the other servers fail 2 of 3 requests
    When callers send 24 requests a second to the gateways in turn for 9 s
    Then no gateway sends it more than 2 requests while it is to rest

  # Guards against a rest that is forgotten when something else about the server or the settings changes.
  Scenario: A rest outlives reloads, new configurations and changes of the server's entry
    Given a site with 3 servers of calls and 3 ready gateways
    When callers send 24 requests a second to the gateways in turn for 4 s
    And the first of them that serves refuses requests and asks for "4" s of rest
    And callers send 24 requests a second to the gateways in turn for 9 s, while settings, configuration and the server's entry change
    Then no gateway sends it more than 2 requests while it is to rest
    And all requests were answered

  # Guards against requests that wait in vain for servers that are known to rest.
  Scenario Outline: All servers of <kind> rest
    Given a site with <servers> servers of <kind> and 1 ready gateways
    And all of them refuse requests and ask for "5" s of rest
    When callers send 10 requests a second to the gateways in turn for 3 s
    Then from 1 s on each request is refused within 400 ms and told to come back when the rest ends
    And no gateway sends any of them more than 2 requests while it is to rest

    Examples:
      | kind    | servers |
      | calls   | 2       |
      | streams | 4       |

  # Guards against a server that is left out for longer than it asked for.
  Scenario: A server that has rested gets requests again
    Given a site with 3 servers of calls and 1 ready gateways
    And the first of them that serves refuses requests and asks for "1.5" s of rest
    When callers send 24 requests a second to the gateways in turn for 2 s
    And it refuses nothing any more
    Then it gets requests again

  # Guards against orders and probes to an engine that asks for rest.
  Scenario: An engine refuses orders and asks for rest
    Given a site with engines of which one refuses orders and asks for "4" s of rest
    Then within 8 s it gets at most 2 orders and probes in any of its rests

  # Guards against requests to a server that announces in its answers alone that it shuts down.
  Scenario Outline: A server of <kind> says in its answers that it is leaving
    Given a site with <servers> servers of <kind> and 3 ready gateways
    And the first of them that serves says in its answers that it is leaving
    When callers send 24 requests a second to the gateways in turn for 6 s, while settings, configuration and the server's entry change
    Then no gateway sends it a request from a caller later than 2000 ms after it passed on such an answer
    And all requests were answered

    Examples:
      | kind    | servers |
      | calls   | 3       |
      | streams | 6       |

  # Guards against a server that is left out for good after it has started again under its id.
  Scenario: A server that was leaving has started again under its id
    Given a site with 3 servers of calls and 1 ready gateways
    And the first of them that serves says in its answers that it is leaving
    When callers send 24 requests a second to the gateways in turn for 2 s
    And that server starts again under its id
    Then it gets requests again
