Feature: A stopping gateway answers requests that were sent one behind the other

  Scenario Outline: A caller sends <count> <what> on one connection, and its gateway is told to stop
    # Guards against an answer that closes the connection under a later request, which an engine runs.
    Given a site whose plain server takes 600 ms and a ready gateway with a grace of 4000 ms
    When a caller sends <count> <what> at once on one connection, with the signal <when> them
    Then each request has one whole answer, in order, or never ran
    And the first <answered> have an answer with status 200

    Examples:
      | count | what                      | when   | answered |
      | 2     | requests that may run once | before | 2        |
      | 2     | requests that may run once | after  | 2        |
      | 3     | requests that may repeat   | before | 3        |
      | 3     | uploads in chunks          | after  | 3        |

  Scenario: A request comes behind a stream that has announced the close
    # Guards against running a request on a connection whose earlier response has said it closes.
    Given a site whose streams take 1000 ms and a ready gateway with a grace of 4000 ms
    And a plain server that takes 100 ms
    When a stream has begun on a connection of a gateway that stops, and a request that may run once follows it
    Then each request has one whole answer, in order, or never ran
    And the first 1 have an answer with status 200
