Feature: A limit of the whole fleet holds whatever happens to its gateways

  # Guards against shares that grow when peers fall silent, and that a restart gives out again.
  Scenario Outline: <gateways> gateways keep the retry budget through random disturbances
    When <gateways> gateways retry all that they may in <fleets> fleets with restarts, freezes, cuts, joins and late digests
    Then no window has more retries than the budget allows

    Examples:
      | gateways | fleets |
      | 7        | 60     |
      | 63       | 3      |
      | 195      | 1      |

  # Guards against retries saved up for a surge of refusals and spent again by gateways that restart in it.
  Scenario Outline: <gateways> gateways restart after servers have begun to refuse requests
    When <gateways> gateways retry all that they may in <fleets> fleets that lose gateways shortly after servers have begun to refuse requests
    Then no window has more retries than the budget allows

    Examples:
      | gateways | fleets |
      | 7        | 60     |
      | 63       | 3      |
      | 195      | 1      |

  # Guards against retries saved up for a surge of refusals and spent again by gateways that restart in it.
  Scenario Outline: Budgets without a fixed part are replaced at <seconds> s, after a surge at 4 s
    When 7 budgets allow 0.25 retries a request, a surge begins at 4 s and <replaced> of them are replaced at "<seconds>" s
    Then no window has more retries than the budget allows

    Examples:
      | seconds   | replaced |
      |           | 0        |
      | 8         | 4        |
      | 8, 11     | 4        |
      | 8, 10, 12 | 4        |
      | 4.5, 5, 6 | 7        |

  # Guards against settings and loads for which a budget allows too much, nothing or anything.
  Scenario: One budget with drawn settings, loads and times
    When 300 budgets are drawn from seed 39 and retry all that they may
    Then each kept its fraction of the requests and its fixed part in every window
    And those with a ratio and enough requests have allowed retries

  # Guards against retries that arrive late, together with those that were allowed in their place.
  Scenario Outline: <gateways> gateways retry while nothing reaches the servers for <cut> ms
    When <gateways> gateways retry all that they may, and what they send is held up for <cut> ms
    Then no window has more retries than the budget allows

    Examples:
      | gateways | cut   |
      | 7        | 500   |
      | 7        | 2400  |
      | 7        | 5900  |
      | 7        | 12000 |
      | 63       | 5900  |

  # Guards against a budget that is kept by retrying nothing.
  Scenario Outline: <gateways> undisturbed gateways can use most of the retry budget
    When <gateways> gateways retry all that they may in 1 undisturbed fleet
    Then the fullest window has at least 0.8 of the retries that the budget allows

    Examples:
      | gateways |
      | 7        |
      | 63       |

  # Guards against shares of replaced gateways that are lost for good.
  Scenario: A gateway is gone for good and another one takes its place
    Given 7 gateways that share a limit
    When one is replaced, and 25 minutes pass
    Then the shares of all running gateways sum up to 1 again, and never exceeded it

  # Guards against a gateway that is given up by the others and still uses its share.
  Scenario: A gateway hears nobody for longer than others count it
    Given 7 gateways that share a limit
    When one is cut off from the others and the store for 25 minutes, and 24 minutes pass
    Then the shares of all running gateways sum up to 1 again, and never exceeded it
    And 3 minutes later they sum up to 1, and never exceeded it

  # Guards against gateways that each use the whole limit of a server, and against forgetting it.
  Scenario Outline: <gateways> gateways keep to the limits of servers through random disturbances
    When <gateways> gateways send all that they may to a server with a changing limit in <fleets> fleets with restarts, freezes, cuts, joins and late digests
    Then no 4 s have more than 5 requests beyond one and a half times the limit

    Examples:
      | gateways | fleets |
      | 7        | 60     |
      | 63       | 3      |
      | 195      | 1      |

  # Guards against a limit that is kept by sending nothing.
  Scenario Outline: <gateways> undisturbed gateways use the limit of a server
    When <gateways> gateways send all that they may to a server with a limit of <limit> requests a second
    Then it gets at least 0.8 of them

    Examples:
      | gateways | limit |
      | 7        | 1.2   |
      | 7        | 30    |
      | 63       | 1.2   |
      | 195      | 0.4   |
