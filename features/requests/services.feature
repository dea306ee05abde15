Feature: Plain services behind the request path
  Calls pass through whole or visibly broken, and never run more often than their rules allow.

  Background:
    Given an entry before two replicas and two service instances

  Scenario: Everything that belongs to the call passes through
    When a caller posts to "/services/gate/echo/a%20b?day=2&x=%26" with fields of all sorts
    Then the service saw the method, path, query, body and end-to-end fields
    And the service saw no hop-by-hop field, no key and no forged field
    When a caller asks for the head of "/services/gate/passes/7"
    Then the call is answered with 200 and the type "application/json" but no body

  Scenario: An answer field that is not ASCII
    # An application writes a name into a field as UTF-8. Node refuses to write such a character, and
    # an answer that fails half-way must not take the entry with it.
    Given a service that answers every call with the raw text "HTTP/1.1 200 OK\r\nX-Name: Ayu é\r\nContent-Length: 2\r\n\r\nok" and closes
    When a caller gets "/services/gate/passes/7"
    Then the answer's field "x-name" has the bytes of "Ayu é"

  Scenario: Large bodies both ways
    When a caller uploads 3000000 bytes in chunks
    Then the service saw the same 3000000 bytes
    When a caller downloads 5000000 bytes
    Then the caller has 5000000 bytes in a whole answer

  Scenario: An answer that is cut is never taken for whole
    # The gate application dies while its answer is under way. Half a passport must not look like
    # one.
    Given the next calls of both services have the fault '{"kind":"truncate"}'
    When a caller gets "/services/gate/passes/7"
    Then the caller's connection was closed in mid-answer

  Scenario Outline: A call that may not be repeated meets <fault>
    # The application reads a booking and breaks the connection. Whether it took effect cannot be
    # known here, so it is not sent again and the caller is told just that.
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
    # Both instances break a call, one after the other. Neither may be left out for long: with both
    # left out, one bad call would take the application from everybody.
    Given the next calls of both services have the fault '{"kind":"resetBeforeRun"}'
    When a caller gets "/services/gate/passes/7"
    Then the call is answered with 200

  Scenario: A call that may not be repeated goes to another instance when nothing was sent
    # An instance is gone while the platform still lists it. No connection is made, so nothing can
    # have run there.
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
    # The application reads "/check%2Dins" and "//check-ins" as "/check-ins". A rule that does not
    # would let a check-in be sent without its key.
    When a caller posts to "/services/gate/check%2Dins"
    Then the refusal is 400 "keyRequired" with the conclusion "refused"
    When a caller posts to "/services/gate//check-ins"
    Then the refusal is 400 "keyRequired" with the conclusion "refused"

  Scenario: An answer that does not say where it ends
    # An old application marks the end of its answer by closing the connection, as it does when it
    # dies. Half an answer and a whole one look the same, so neither is passed on.
    Given a service that answers every call with the raw text "HTTP/1.1 200 OK\r\n\r\nhalf" and closes
    When a caller posts to "/services/gate/slots"
    Then the refusal is 502 "outcomeUnknown" with the conclusion "unknown"
    And the raw service was called 1 times

  Scenario: A second answer that nobody asked for
    # A confused application sends two answers to one call. The next caller on the same connection
    # would read the second one as its own.
    Given a service that answers its first call twice, with "one" and "stray"
    When a caller gets "/services/gate/passes/1"
    And a caller gets "/services/gate/passes/2"
    Then no caller has read "stray"
