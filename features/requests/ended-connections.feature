Feature: Connections of services that end within an answer, or while it waits to be read

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

  # Guards against a head that is taken for whole when its connection ends within it.
  Scenario Outline: A service <end> its connection at each byte of the head of an answer
    When a service <end> its connection at each byte of each form of head, and a call is sent to it each time
    Then none of the calls is answered

    Examples:
      | end    |
      | closes |
      | resets |
