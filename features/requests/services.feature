Feature: Plain services behind the request path
  Answers arrive whole or visibly broken, and calls never run more often than their rules allow.

  Background:
    Given an entry before two replicas and two service instances

  Scenario: Everything that belongs to the call passes through
    When a caller posts to "/services/gate/echo/a%20b?day=2&x=%26" with fields of all sorts
    Then the service saw the method, path, query, body and end-to-end fields
    And the service saw no hop-by-hop field, no key and no forged field
    When a caller asks for the head of "/services/gate/passes/7"
    Then the call is answered with 200 and the type "application/json" but no body

  Scenario: An answer field that is not ASCII
    # Node refuses to write header fields with UTF-8 characters; this must not crash the entry.
    Given a service that answers every call with the raw text "HTTP/1.1 200 OK\r\nX-Name: Ayu é\r\nContent-Length: 2\r\n\r\nok" and closes
    When a caller gets "/services/gate/passes/7"
    Then the answer's field "x-name" has the bytes of "Ayu é"

  Scenario: Large bodies both ways
    When a caller uploads 3000000 bytes in chunks
    Then the service saw the same 3000000 bytes
    When a caller downloads 5000000 bytes
    Then the caller has 5000000 bytes in a whole answer

  Scenario: An answer that is cut is never taken for whole
    # A backend server that dies in mid-answer must not leave a truncated answer that looks whole.
    Given the next calls of both services have the fault '{"kind":"truncate"}'
    When a caller gets "/services/gate/passes/7"
    Then the caller's connection was closed in mid-answer

  Scenario Outline: A caller of HTTP/1.0 gets an answer that is <end>
    # Such a caller can't read chunks, and takes the close of its connection for the end of the answer.
    Given a service that answers every call with the raw text "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n<rest>" and closes
    When a caller of HTTP/1.0 gets "/services/gate/passes/7"
    Then it takes <taken> for a whole answer

    Examples:
      | end   | rest                        | taken       |
      | cut   |                             | nothing     |
      | whole | 5\r\\n more\r\\n0\r\\n\r\\n | "half more" |

  Scenario: Many callers of HTTP/1.0 get long answers at once
    # Such answers are held until they are complete; together they must not fill the entry's memory.
    Given a service that begins answers of 7000 KB and never ends them
    When 12 callers of HTTP/1.0 get "/services/gate/passes/7" at once
    Then within 5000 ms the entry gives up all but 5 of them

  Scenario Outline: A call that may not be repeated meets <fault>
    # When the connection breaks after the call was sent, it may have run: it is not sent again, and
    # the caller is told that the outcome is unknown.
    Given the next calls of both services have the fault '{"kind":"<fault>"}'
    When a caller posts to "/services/gate/slots"
    Then the refusal is 502 "outcomeUnknown" with the conclusion "unknown"
    And the services have run <runs> calls

    Examples:
      | fault          | runs |
      | resetBeforeRun | 0    |
      | resetAfterRun  | 1    |

  Scenario: A call that hangs until its timeout
    Given the next calls of both services have the fault '{"kind":"hangAfterRun"}'
    When a caller posts to "/services/gate/slots" with a deadline of 150 ms
    Then the refusal is 504 "deadlineAfterStart" with the conclusion "unknown"
    And the services have run 1 calls

  Scenario: A repeatable call is sent again, also when every instance failed it once
    # A single bad call must not exclude all instances of a service.
    Given the next calls of both services have the fault '{"kind":"resetBeforeRun"}'
    When a caller gets "/services/gate/passes/7"
    Then the call is answered with 200

  Scenario: A call that may not be repeated goes to another instance when nothing was sent
    # Without a connection nothing can have run, so the call may go to another instance.
    Given the first service instance is gone and still listed
    When a caller posts 6 times to "/services/gate/slots"
    Then all calls are answered with 200
    And the services have run 6 calls

  Scenario: No instance can be reached
    Given both service instances are gone and still listed
    When a caller posts to "/services/gate/slots"
    Then the refusal is 503 "noCapacity" with the conclusion "notRun"

  Scenario: A call that may run only once is answered from its record
    When a caller checks in with the key "k-1"
    And a caller checks in with the key "k-1"
    Then the second answer is the first one, marked as replayed
    And the services have run 1 calls

  Scenario: A path that is written differently falls under the same rule
    # A backend server may treat "/check%2Dins" and "//check-ins" as "/check-ins"; the rule must not
    # be bypassed by a different spelling.
    When a caller posts to "/services/gate/check%2Dins"
    Then the refusal is 400 "keyRequired" with the conclusion "refused"
    When a caller posts to "/services/gate//check-ins"
    Then the refusal is 400 "keyRequired" with the conclusion "refused"

  Scenario: An answer that does not say where it ends
    # An answer that ends with the connection can't be told from a truncated one, so it is not
    # relayed.
    Given a service that answers every call with the raw text "HTTP/1.1 200 OK\r\n\r\nhalf" and closes
    When a caller posts to "/services/gate/slots"
    Then the refusal is 502 "outcomeUnknown" with the conclusion "unknown"
    And the raw service was called 1 times

  # Guards against calls to an instance that has refused one and asked for rest.
  Scenario Outline: An instance refuses calls with Retry-After "<value>"
    Given a service that answers every call with the raw text "HTTP/1.1 503 Busy\r\nRetry-After: <value>\r\nContent-Length: 0\r\n\r\n" and closes
    When a caller posts 5 times to "/services/gate/slots"
    And a caller checks in with the key "k-1"
    Then the raw service was called <calls> times
    And all calls are answered with 503

    Examples:
      | value             | calls |
      | 20                | 1     |
      | 2.5               | 1     |
      | 99999999999999999 | 1     |
      | 0                 | 6     |
      | soon              | 6     |
      | -3                | 6     |
      |                   | 6     |

  # Guards against an instance that is left out for longer than it asked for.
  Scenario: An instance has rested
    Given a service that answers every call with the raw text "HTTP/1.1 503 Busy\r\nRetry-After: 0.2\r\nContent-Length: 0\r\n\r\n" and closes
    When a caller posts to "/services/gate/slots"
    And callers post to "/services/gate/slots" until the raw service is called again
    Then its two calls were at least 200 ms apart

  Scenario: A second answer that nobody asked for
    # The surplus answer must not be read as the answer to the next call on the same connection.
    Given a service that answers its first call twice, with "one" and "stray"
    When a caller gets "/services/gate/passes/1"
    And a caller gets "/services/gate/passes/2"
    Then no caller has read "stray"
