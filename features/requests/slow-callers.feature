Feature: Answers of services whose callers read slowly

  # Guards against an entry that ends, or a call that never does: undici fails an assertion if a connection ends
  # while nobody takes the answer.
  Scenario Outline: A service <end> its connection while <kind> part of its answer waits to be read
    Given a service that sends <sent> of 70000 bytes with "Connection: close" and <end> the connection
    When a call to it is answered and its body is read 200 ms later
    Then the body <result>

    Examples:
      | end    | kind     | sent  | result          |
      | closes | the last | 70000 | has 70000 bytes |
      | closes | a        | 69999 | breaks off      |
      | resets | a        | 69999 | breaks off      |
