Feature: What callers are told when a request fails
  Every refusal has a kind from a fixed list and a conclusion. "Not run" is used only for requests
  that no backend server has run.

  Background:
    Given an entry before two replicas and two service instances

  Scenario Outline: Bad input: <input>
    When a caller sends bad input "<input>"
    Then the refusal is <status> "<kind>" with the conclusion "<conclusion>"
    And no backend server has seen anything

    Examples:
      | input                         | status | kind             | conclusion |
      | no key                        | 401    | workspaceUnknown | refused    |
      | a wrong key                   | 401    | workspaceUnknown | refused    |
      | broken JSON                   | 400    | invalidRequest   | refused    |
      | no messages                   | 400    | invalidRequest   | refused    |
      | an unknown model              | 404    | modelUnknown     | refused    |
      | a model of others             | 403    | notAllowed       | refused    |
      | an unknown service            | 404    | serviceUnknown   | refused    |
      | an unknown route              | 404    | routeUnknown     | refused    |
      | a body declared too large     | 413    | bodyTooLarge     | refused    |
      | a body too large in chunks    | 413    | bodyTooLarge     | refused    |
      | a body that never ends        | 408    | senderTooSlow    | notRun     |
      | an unknown class              | 400    | invalidRequest   | refused    |
      | a class it may not use        | 403    | notAllowed       | refused    |
      | a negative deadline           | 400    | invalidRequest   | refused    |
      | a deadline of zero            | 400    | invalidRequest   | refused    |
      | a deadline that is no number  | 400    | invalidRequest   | refused    |
      | a path with encoded dots      | 400    | invalidRequest   | refused    |
      | a once-call without key       | 400    | keyRequired      | refused    |

  Scenario Outline: A request that could be read in two ways: <framing>
    # Request smuggling: when a proxy and the entry disagree on the body length, the rest of the body
    # would be read as another request.
    When a caller sends raw bytes with <framing>
    Then the raw answer is 400 and the connection is closed
    And no backend server has seen anything

    Examples:
      | framing                              |
      | both Content-Length and chunks       |
      | two different Content-Lengths        |
      | the same Content-Length twice        |

  Scenario: No replica comes into service before the deadline
    Given no replica is in service
    When a caller streams the completion "hello" with a deadline of 150 ms
    Then the refusal is 504 "deadlineBeforeStart" with the conclusion "notRun"
    And no backend server has seen anything

  Scenario: No replica is in service for long
    Given no replica is in service
    When a caller streams the completion "hello"
    Then the refusal is 503 "noCapacity" with the conclusion "notRun"
    And the refusal says when to retry
    And no backend server has seen anything

  Scenario: The deadline passes at an engine that does not answer
    # The engine may be running the request, so "not run" would be a guess.
    Given the next completions of both replicas have the fault '{"kind":"neverAnswer"}'
    When a caller streams the completion "hello" with a deadline of 150 ms
    Then the refusal is 504 "deadlineAfterStart" with the conclusion "unknown"

  Scenario: An attempt is lost and then nothing is in service
    # The first attempt may have run, so "not run" is wrong although the second was never sent.
    Given only the first replica is in service
    And the next completions of both replicas have the fault '{"kind":"resetBeforeAnswer"}'
    And the replicas go out of service with the first attempt
    When a caller streams the completion "hello"
    Then the refusal is 502 "outcomeUnknown" with the conclusion "unknown"

  Scenario: A workspace over its limit
    Given workspace "market" may have 0 requests at a time here
    When a caller streams the completion "hello"
    Then the refusal is 429 "limitExceeded" with the conclusion "notRun"
    And the refusal says when to retry
    And no backend server has seen anything
