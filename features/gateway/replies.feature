Feature: An answer that ends early does not look whole

  Scenario Outline: An answer whose end is marked by <mark> is cut
    # A stream is broken off in the middle, because its backend server is lost or the gateway stops. A
    # caller whose answer has no other mark of its end than that of the connection takes what it has for
    # the whole answer.
    Given an answer whose end is marked by <mark>, of which a part was sent
    When it is cut
    Then its caller sees that it is not whole

    Examples:
      | mark             |
      | chunks           |
      | its connection   |
