Feature: The engine client tells what was certainly not sent from what may have run

  # A caller is told that its request was not run, sends it again, and it has run twice. The
  # connection broke after the request was written, and the error looked like a refused connection.
  Scenario Outline: A completion meets <what>
    Given an engine address with <what>
    When a completion is sent to that engine address
    Then the engine client says <outcome>

    Examples:
      | what                                                    | outcome |
      | nobody listening                                        | notSent |
      | a server that closes as soon as the request arrives     | lost    |
      | a server that answers 503 without a refusal             | lost    |
      | a server that answers with what is not a stream         | lost    |
      | a server that refuses with notReady                     | refused |

  # An idle connection is used again. In the moment when the request is written, the server closes
  # it. Whether the server read the request before it closed can't be known from here.
  Scenario: The server closes an idle connection just as it is used again
    Given an engine address with a server that refuses the first request and closes at the second
    When a completion is sent to that engine address
    Then the engine client says refused
    When a completion is sent to that engine address
    Then the engine client says lost

  Scenario: A completion is cancelled while it waits for a connection
    Given an engine address with a server that never answers
    And an engine client with 1 stream to each engine
    When a completion is sent to that engine address and left open
    And a second completion is sent and cancelled
    Then the engine client says notSent
    And the server has seen 1 request

  # A member is torn out of a new replica by an order of a lease that ended a minute ago. The order
  # was written to a connection over a broken link; the connection was closed at its timeout, but
  # the kernel went on delivering what was written. A reset makes it forget.
  Scenario: The connection of an order that takes too long is reset
    Given an engine address with a server that never answers
    When an order with a timeout of 100 ms is sent to that engine address
    Then the order fails as unreachable and its connection was reset

  Scenario: Any interleaving of chunks gives a run of right tokens and one end
    Then the chunk sequence passes only right chunks in 2000 streams of repeated, lost and foreign ones

  Scenario: Any load keeps the batch within its size and ends every request once
    Then the engine's scheduler keeps its bounds in 500 random runs
