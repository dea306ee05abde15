Feature: An answer that is cut off is never taken for whole

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
