Feature: A cold backend server gets no more than it bears

  # Guards against gateways that each use a cold server as if they were the only one, and against shares
  # that overlap around restarts, cuts and late news.
  Scenario Outline: <gateways> gateways keep to the bound of a cold server through random disturbances
    When <gateways> gateways send all that they may to a server that turns cold in <fleets> fleets with restarts, cuts and late news
    Then no second has more requests than 1.5 times the rate and 5

    Examples:
      | gateways | fleets |
      | 7        | 40     |
      | 85       | 6      |
      | 300      | 1      |

  # Guards against a bound that is kept by sending nothing.
  Scenario Outline: <gateways> undisturbed gateways use the rate of a cold server
    When <gateways> undisturbed gateways send all that they may to a cold server
    Then it gets at least 0.7 of its rate
    And no second has more requests than 1.5 times the rate and 5

    Examples:
      | gateways |
      | 7        |
      | 85       |
      | 300      |

  # Guards against gateways that send to cold servers as to warm ones, and against requests that are held
  # until their deadline when no server can take them.
  Scenario Outline: Gateways keep to the rate of servers whose <evidence> show that they are cold
    Given 3 servers that bear 4 requests a second while they are cold, and 3 gateways
    When all of them turn cold for 9 s, as their <evidence> show
    And callers send 90 requests a second to the gateways in turn for 5 s
    Then from 1 s on each of them gets at most 11 requests in any second, and at least 11 in 4 s
    And all other requests were refused since all targets are cold, within 1000 ms

    Examples:
      | evidence |
      | entries  |
      | answers  |

  # Guards against a restarted server that is taken for warm before its entry tells.
  Scenario: A server restarts while requests are served
    Given 3 servers that bear 4 requests a second while they are cold, and 3 gateways
    When callers send 90 requests a second to the gateways in turn for 2 s
    And the first of them restarts and its entry does not tell whether it is cold
    And callers send 90 requests a second to the gateways in turn for 3 s
    Then from 1 s on it gets at most 11 requests in any second
