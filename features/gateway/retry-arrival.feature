Feature: When a retry counts as arrived at its server

  # Guards against retries that leave the budget while they wait behind a broken link, and against a
  # budget that is held up by servers that are merely slow to answer.
  Scenario Outline: The server was last heard from <when>
    Given a retry that its server has not answered, and the server was heard from <ms> ms after it was sent
    When the attempts in flight are checked
    Then the retry counts as <state>

    Examples:
      | when                      | ms   | state       |
      | before the retry was sent | -500 | on its way  |
      | with what crossed it      | 5    | on its way  |
      | after it was sent         | 60   | arrived     |
