Feature: A limit of the whole fleet holds whatever happens to its gateways

  # Guards against shares that grow when peers fall silent, and that a restart gives out again.
  @known-red
  Scenario Outline: <gateways> gateways keep the retry budget through random disturbances
    When <gateways> gateways retry all that they may in <fleets> fleets with restarts, freezes, cuts, joins and late digests
    Then no window has more retries than the budget allows

    Examples:
      | gateways | fleets |
      | 7        | 60     |
      | 63       | 3      |
      | 195      | 1      |

  # Guards against a budget that is kept by retrying nothing.
  Scenario Outline: <gateways> undisturbed gateways can use most of the retry budget
    When <gateways> gateways retry all that they may in 1 undisturbed fleet
    Then the fullest window has at least 0.8 of the retries that the budget allows

    Examples:
      | gateways |
      | 7        |
      | 63       |
