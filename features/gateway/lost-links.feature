Feature: Gateways that lose their links to backend servers still serve their callers

  # Guards against gateways that refuse requests because their own links to the servers are lost.
  Scenario Outline: <cut> of <gateways> gateways lose all links (<loss>)
    Given a site with <gateways> gateways that each have links of their own
    When callers send requests of all kinds to the gateways in turn for 2 s
    And <cut> gateways lose all links, <loss>, while callers go on for 7 s
    Then from 3 s on the gateways with lost links serve 9 in 10 of what the others serve at the first attempt
    And the others serve 9 in 10 of their requests
    And no call ran twice, and none that was refused has run
    And each stream that was answered is whole
    When the links are back while callers go on for 4 s
    Then from 2 s on the gateways with lost links serve 9 in 10 of what the others serve at the first attempt
    And from 2 s on all requests go over links of their own gateway
    And no sound server was taken for failed

    Examples:
      | gateways | cut | loss    |
      | 3        | 1   | silent  |
      | 3        | 1   | reset   |
      | 3        | 1   | refused |
      | 3        | 2   | silent  |
      | 3        | 2   | reset   |
      | 4        | 3   | refused |

  # Guards against a gateway that uses another one's links for a service that it reaches itself.
  Scenario: A gateway loses its links to one service
    Given a site with 3 gateways that each have links of their own
    When callers send requests of all kinds to the gateways in turn for 2 s
    And 1 gateways lose the links to "models", reset, while callers go on for 6 s
    Then from 3 s on the gateways with lost links serve 9 in 10 of what the others serve at the first attempt
    And only requests to "models" go over links of other gateways
    And no sound server was taken for failed

  # Guards against requests that wait in vain although no gateway reaches the service.
  Scenario Outline: All gateways lose all links (<loss>)
    Given a site with 3 gateways that each have links of their own
    When callers send requests of all kinds to the gateways in turn for 2 s
    And 3 gateways lose all links, <loss>, while callers go on for 6 s
    Then from 3 s on all requests are refused within 400 ms
    And explaining each of them that is logged tells "outOfReach"
    And no call ran twice, and none that was refused has run
    When the links are back while callers go on for 5 s
    Then from 3 s on all gateways serve 9 in 10 of their requests
    And no sound server was taken for failed

    Examples:
      | loss   |
      | silent |
      | reset  |

  # Guards against a server that is silent for a second and taken for one behind a lost link.
  Scenario: A server falls silent for a second
    Given a site with 3 gateways that each have links of their own
    When callers send requests of all kinds to the gateways in turn for 2 s
    And a server of each service is silent for a second while callers go on for 4 s
    Then no gateway has lost a link

  # Guards against retries that are denied because of attempts that no server has ever received.
  Scenario: Servers refuse connections and their entries stay
    Given a site with 3 servers of calls and 1 ready gateways
    When all but one of them end without a word
    And callers send 80 requests at once
    Then all requests were answered
