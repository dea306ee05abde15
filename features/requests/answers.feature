Feature: Whole answers from the request path
  A caller gets the whole answer to its own request, or is told in one piece that it does not.

  Background:
    Given an entry before two replicas and two service instances

  Scenario: A streamed answer and the same one in a piece
    When a caller streams the completion "is slot 4 free?"
    Then the streamed answer is whole
    When a caller asks for the completion "is slot 4 free?" in one piece
    Then the answer in one piece is whole

  Scenario Outline: A stream with the fault <fault> is made whole elsewhere
    # An engine dies, loses or repeats tokens, or mixes in those of another caller: none of it may
    # reach the caller.
    Given the next completions of both replicas have the fault '<fault>'
    When a caller streams the completion "who may enter?"
    Then the streamed answer is whole

    Examples:
      | fault                               |
      | {"kind":"cutAfter","after":5}       |
      | {"kind":"cutAfter","after":0}       |
      | {"kind":"dieBeforeEnd"}             |
      | {"kind":"noEnd"}                    |
      | {"kind":"gap","at":3}               |
      | {"kind":"duplicate","at":3}         |
      | {"kind":"foreignChunk","at":3}      |
      | {"kind":"wrongAttempt"}             |
      | {"kind":"afterEnd"}                 |
      | {"kind":"garbage","at":2}           |
      | {"kind":"resetBeforeAnswer"}        |

  Scenario: Every attempt breaks off in mid-stream
    # A caller must be able to tell a partial answer from a whole one.
    Given all completions of both replicas break off after 3 tokens
    When a caller streams the completion "who may enter?"
    Then the streamed answer ends in one error event "answerCut" and no end mark
    When a caller asks for the completion "who may enter?" in one piece
    Then the refusal is 502 "answerCut" with the conclusion "failed"

  Scenario: A caller hangs up in mid-stream
    # The engine must not keep generating, and using a batch slot, for a disconnected caller.
    Given the next completions of both replicas have the fault '{"kind":"hang","after":3}'
    When a caller hangs up after the first token of "is slot 4 free?"
    Then the engine has ended the attempt as cancelled
    And nothing is in flight at the entry

  Scenario: Many callers at once
    # Concurrent callers must not receive each other's answers.
    When 500 callers stream completions of their own at once
    Then each caller has the whole answer to its own question

  Scenario: An engine is cut off and the stream is resumed once it is back
    # With no other replica in service, the stream waits until its own is healthy again.
    Given only the first replica is in service
    And the next completions of both replicas have the fault '{"kind":"cutAfter","after":4}'
    When a caller streams the completion "who may enter?"
    Then the streamed answer is whole

  Scenario: An entry stops while an answer is streamed
    # Accepted requests are completed; later ones are refused as not run, so that the load balancer
    # can send them elsewhere.
    When the entry begins to stop after the first token of "is slot 4 free?"
    Then the streamed answer is whole
    And a new completion is refused with 503 "stopping" and the conclusion "notRun"
    And the entry is idle
