Feature: An answer that is cut off is never taken for whole

  # Guards against a request that never ends: undici fails an assertion if a connection ends while its parser is
  # paused.
  Scenario Outline: The connection ends while the caller of an answer <framing> reads slowly
    Given a backend server that sends given bytes
    And callers that read nothing for 100 ms
    When it sends a part of an answer <framing> and ends the connection in each way
    Then none of the answers is taken for whole but those without a length that end by close
    When callers leave while the rest of an answer <framing> is not read
    Then nothing has failed

    Examples:
      | framing                                |
      | without a length                       |
      | with a length and "Connection: close"  |
      | in chunks and with "Connection: close" |

  # Guards against a reset that arrives together with the last bytes and is taken for a regular close.
  Scenario Outline: The connection is reset right behind an answer without a length, <path>
    Given a backend server that sends given bytes
    When it sends an answer without a length in <form> and ends the connection by reset, <path>
    Then none of the answers is taken for whole
    When it sends an answer without a length in <form> and ends the connection by close, <path>
    Then each of the answers is taken for whole

    Examples:
      | form                              | path    |
      | HTTP/1.1                          | direct  |
      | HTTP/1.1 with "Connection: close" | direct  |
      | HTTP/1.0                          | direct  |
      | HTTP/1.1 after an interim head    | direct  |
      | HTTP/1.1                          | relayed |
      | HTTP/1.1 with "Connection: close" | relayed |
      | HTTP/1.0                          | relayed |
      | HTTP/1.1 after an interim head    | relayed |

  # Guards against a head that is taken for whole when its connection ends within it.
  Scenario Outline: The connection ends within the head of an answer, at each byte, <path>
    Given a backend server that sends given bytes
    When it ends the connection at each byte of each form of head by <end>, <path>
    Then none of the answers is taken for whole

    Examples:
      | end   | path    |
      | close | direct  |
      | reset | direct  |
      | close | relayed |
      | reset | relayed |

  # Guards against the same for the callers of a gateway, whose answers come from other servers after a cut one.
  Scenario Outline: Servers cut heads <form> by <end>
    Given a site with 4 engines and a ready gateway with 2 open groups
    And 2 plain servers
    When lookups, calls and streams come while one server of each kind cuts heads <form> by <end>
    Then each answer with status 200 is whole and as its server has made it
    And each lookup and stream has been answered
    When streams come of which the first run breaks off and the second one's head is cut <form> by <end>
    Then each answer with status 200 that looks whole is as its server has made it

    Examples:
      | form                                   | end   |
      | without a length                       | close |
      | without a length                       | reset |
      | with a length and "Connection: close"  | close |
      | with a length and "Connection: close"  | reset |
      | in chunks and with "Connection: close" | close |
      | in chunks and with "Connection: close" | reset |
