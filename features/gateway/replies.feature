Feature: An aborted response does not look complete

  Scenario Outline: An answer whose end is marked by <mark> is cut
    # Guards against a caller that takes an aborted response for a complete one.
    Given an answer whose end is marked by <mark>, of which a part was sent
    When it is cut
    Then its caller sees that it is not whole

    Examples:
      | mark             |
      | chunks           |
      | its connection   |
