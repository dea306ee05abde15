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
