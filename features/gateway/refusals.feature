Feature: A gateway that was refused sends its next requests elsewhere

  # Guards against requests that go one after the other to a head that has left its replica.
  Scenario Outline: A server refuses a request with <status>
    Given a gateway that knows 3 backend servers
    When the first refuses a request with <status>
    Then it is not chosen within <ms> ms, and is chosen again after <end> ms
    And the gateway still chooses it if no other server is left

    Examples:
      | status | ms   | end  |
      | 421    | 2900 | 3100 |
      | 503    | 90   | 110  |

  # Guards against a server that is avoided by news that are no longer true.
  Scenario: The entry of a server that has moved changes
    Given a gateway that knows 3 backend servers
    When the first refuses a request with 421
    And the entry of the first changes
    Then it is chosen again

  # Guards against servers that are avoided for refusals that say nothing of the next request.
  Scenario: A server refuses a request for another reason
    Given a gateway that knows 3 backend servers
    When the first refuses a request with 429
    Then it is chosen again
