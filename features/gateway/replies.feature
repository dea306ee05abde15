Feature: A response that ends early does not look complete

  # Guards against a caller that takes a part for the whole, also when nothing is left to reset connections.
  Scenario Outline: The gateway <event> within a response to a caller of HTTP/<version>
    Given a response to a caller of HTTP/<version>, of which a part was sent
    When the gateway <event>
    Then its caller sees that it is not whole

    Examples:
      | event     | version |
      | cuts it   | 1.1     |
      | cuts it   | 1.0     |
      | is killed | 1.1     |
      | is killed | 1.0     |

  # Guards against callers of HTTP/1.0 that get no response any more, or one that is framed by chunks.
  Scenario: A caller of HTTP/1.0 gets a response of unknown length
    Given a response to a caller of HTTP/1.0, of which a part was sent
    When the gateway ends it
    Then its caller sees that it is whole

  # Guards against a gateway whose memory a response without end to a caller of HTTP/1.0 fills.
  Scenario: A response to a caller of HTTP/1.0 has no end
    Given a response to a caller of HTTP/1.0, of which a part was sent
    When the gateway sends 16 MB of it
    Then its caller sees that it is not whole

  # Guards against a gateway whose memory many such responses fill together.
  Scenario: Many responses to callers of HTTP/1.0 have no end
    Given 41 responses to callers of HTTP/1.0, of each of which a part was sent
    When the gateway sends 8000 KB of all but the last
    Then it holds at most 42 MB of them
    When the callers of these leave, and the gateway sends 6000 KB more of each and ends the last
    Then its caller sees that it is whole
