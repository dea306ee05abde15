Feature: Calls that may run only once
  A call with an Idempotency-Key runs at most once despite failures, and a request reported as not
  run has never run.

  Background:
    Given entries "a" and "b" that keep call records in one platform

  Scenario: Two taps on the same button
    # Two entries receive the same key concurrently. Only the call record decides which of them runs
    # the call.
    When the call "k1" arrives at "a" and "b" at the same time
    Then one of the two requests is answered and the other is told "callInProgress" or replayed
    And the call "k1" has run 1 time
    When the record of "k1" has been settled
    And the call "k1" arrives again at "b"
    Then the last once-request replays the first answer byte for byte

  Scenario: A second tap at the same entry while the first is in progress
    # A retry at the entry that is still running the call must not run it again.
    Given the backend server holds once-calls
    When the call "k1" arrives at "a"
    And the call "k1" has reached the backend server
    And the call "k1" arrives again at "a"
    Then the last once-request is told "callInProgress" with a retry delay
    When the backend server releases its once-calls
    And the call "k1" arrives again at "a"
    Then the last once-request replays the first answer byte for byte
    And the call "k1" has run 1 time

  Scenario: The platform's answer to a claim is lost
    # The claim takes effect, but its entry never sends the call. The entry must settle the claim,
    # or the key would stay blocked.
    Given the platform's answers to "a" are lost
    When the call "k1" arrives at "a"
    Then the last once-request is told "recordUnavailable" with a retry delay
    And the call "k1" has run 0 times
    Given the platform answers "a" again
    Then the call "k1" sent again to "b" until it is answered has run 1 time

  Scenario: A claim takes effect long after its entry has given it up
    # A delayed claim arrives after the call has run at another entry. It must not replace the
    # record.
    Given writes of "a" arrive late
    When the call "k1" arrives at "a"
    Then the last once-request is told "recordUnavailable" with a retry delay
    When the call "k1" arrives at "b"
    Then the last once-request is answered
    When the late writes of "a" arrive
    And the call "k1" arrives again at "b"
    Then the last once-request replays the first answer byte for byte
    And the call "k1" has run 1 time

  Scenario: A late claim arrives before the caller tries elsewhere
    # The delayed claim arrives before the retry. The retry can run only after the claimant has
    # recorded that it never sent the call.
    Given writes of "a" arrive late
    When the call "k1" arrives at "a"
    Then the last once-request is told "recordUnavailable" with a retry delay
    When the late writes of "a" arrive
    And the call "k1" arrives at "b"
    Then the last once-request is told "callInProgress" with a retry delay
    Given the platform answers "a" again
    Then the call "k1" sent again to "b" until it is answered has run 1 time

  Scenario: An entry dies between its claim and the answer
    # Only the failed entry knows whether the call reached the backend server, so the outcome must
    # be reported as unknown and the call must not run again.
    Given the backend server holds once-calls
    When the call "k1" arrives at "a"
    And the call "k1" has reached the backend server
    And the entry "a" is killed
    And the call "k1" arrives at "b"
    Then the last once-request is told "callInProgress" with a retry delay
    When 61 seconds pass for once-calls
    And the call "k1" arrives at "b"
    Then the last once-request is told "outcomeUnknown"
    When the call "k1" arrives at "b"
    Then the last once-request is told "outcomeUnknown"
    And the call "k1" has run 1 time

  Scenario: An entry answers and dies before the answer is recorded
    # The entry fails while the record is still claimed. A retry can't replay the answer and must
    # not run the call again.
    Given the platform holds writes of "a" after the claim of "k1"
    Then the last once-request is answered
    When the entry "a" is killed
    And "b" learns of a restart of "a"
    And the call "k1" arrives at "b"
    And 11 seconds pass for once-calls
    And the call "k1" arrives at "b"
    Then the last once-request is told "outcomeUnknown"
    And the call "k1" has run 1 time

  Scenario: An entry that was taken for dead comes back
    # Another entry recorded an unknown outcome while this one was partitioned. The late answer must
    # not change the recorded outcome.
    Given the backend server holds once-calls
    When the call "k1" arrives at "a"
    And the call "k1" has reached the backend server
    And the call "k1" arrives at "b"
    And 61 seconds pass for once-calls
    And the call "k1" arrives at "b"
    Then the last once-request is told "outcomeUnknown"
    When the backend server releases its once-calls
    Then the first once-request is answered
    When the call "k1" arrives at "b"
    Then the last once-request is told "outcomeUnknown"
    And the call "k1" has run 1 time

  Scenario: A paused entry wakes up after the caller's deadline
    # The claim is confirmed after the caller was told "not run". The call must not be sent, and the
    # key must become free again.
    Given the platform holds writes of "a"
    When the call "k1" arrives at "a" with 200 ms to its deadline
    Then the last once-request is told "deadlineBeforeStart"
    When the held writes of "a" arrive
    Then the call "k1" sent again to "b" until it is answered has run 1 time

  Scenario: A repeat meets an entry that has not learnt yet how its claim ended
    # Guards against reporting a call as in progress from stale state: another entry has recorded an
    # unknown outcome while this one waits for the response to its claim.
    Given the platform holds its answers to "a"
    When the call "k1" arrives at "a" with 200 ms to its deadline
    Then the last once-request is told "deadlineBeforeStart"
    When the call "k1" arrives at "b"
    And 61 seconds pass for once-calls
    And the call "k1" arrives at "b"
    Then the last once-request is told "outcomeUnknown"
    When the call "k1" is repeated at "a"
    And the held answers to "a" arrive
    Then the last once-request is told "outcomeUnknown"
    And the call "k1" has run 0 times

  Scenario: The answer to the claim does not come before the deadline of the repeat
    # The platform never responds to the claim. A retry must not wait beyond its own deadline.
    Given the platform holds its answers to "a"
    When the call "k1" arrives at "a" with 100 ms to its deadline
    Then the last once-request is told "deadlineBeforeStart"
    When the call "k1" is repeated at "a" with 100 ms to its deadline
    Then the last once-request is told "callInProgress" with a retry delay
    And the call "k1" has run 0 times

  Scenario: The platform is down
    # During an outage calls with new keys are refused and not run. A call in progress is answered,
    # and its answer is recorded after the outage.
    Given the backend server holds once-calls
    When the call "k1" arrives at "a"
    And the call "k1" has reached the backend server
    And the platform goes down for once-calls
    And the backend server releases its once-calls
    Then the first once-request is answered
    When 20 calls with new keys arrive at "a"
    Then each of them is told "recordUnavailable" and none has run
    When the platform comes back for once-calls
    Then the call "k1" sent again to "b" until it is answered has run 1 time
    And the last once-request replays the first answer byte for byte

  Scenario: A key for two different requests
    When the call "k1" arrives at "a"
    Then the last once-request is answered
    When the call "k1" arrives at "b" with another body
    Then the last once-request is told "keyReused"
    And the call "k1" has run 1 time

  Scenario: A call that did not reach any backend server may be sent again
    # No instance of the service accepts connections. The key must stay usable for a retry.
    Given no backend server takes once-calls
    When the call "k1" arrives at "a"
    Then the last once-request is told "noCapacity"
    Given the backend server takes once-calls again
    Then the call "k1" sent again to "b" until it is answered has run 1 time

  Scenario Outline: The connection to the backend server is lost after sending
    # It can't be determined whether the call took effect, so it must not run again.
    Given the backend server <fault> once-calls
    When the call "k1" arrives at "a"
    Then the last once-request is told "outcomeUnknown"
    Given the backend server takes once-calls again
    When the record of "k1" has been settled
    And the call "k1" arrives at "b"
    Then the last once-request is told "outcomeUnknown"
    And the call "k1" has run 1 time

    Examples:
      | fault      |
      | breaks off |
      | throws on  |

  Scenario: An answer that is too large to keep
    # The first caller gets the complete answer. A replay is refused rather than truncated.
    Given the backend server answers once-calls with 600000 bytes
    When the call "k1" arrives at "a"
    Then the last once-request is answered
    When the record of "k1" has been settled
    And the call "k1" arrives at "b"
    Then the last once-request is told "answerNotKept"
    And the call "k1" has run 1 time

  Scenario: A key older than the retention
    # The record of an old key may have been deleted. The timestamp in the key must prevent another
    # run.
    When the call with a key made 25 hours ago arrives at "a"
    Then the last once-request is told "keyExpired"
    And no once-call has run

  Scenario Outline: The collection of old records
    # The record of a key without a timestamp is reduced to the state "expired", as the key would
    # look new without it. The record of a key with a timestamp is deleted.
    When the call "<key>" arrives at "a"
    Then the last once-request is answered
    When 30 hours pass and "b" collects old call records
    Then the record of "<key>" is <left>
    When the call "<key>" arrives at "b"
    Then the last once-request is told "keyExpired"
    And the call "<key>" has run 1 time

    Examples:
      | key                                  | left    |
      | pass-17                              | expired |
      | 0199c82c-6400-7000-8000-000000000001 | deleted |

  Scenario: The retention is lengthened after records have been removed
    # With the longer retention a used key is no longer too old, but its record is deleted. The
    # tombstone in the platform must prevent another run.
    When the call "0199c82c-6400-7000-8000-000000000001" arrives at "a"
    Then the last once-request is answered
    When 30 hours pass and "b" collects old call records
    And the retention of call records at "b" becomes 72 hours
    And the call "0199c82c-6400-7000-8000-000000000001" arrives at "b"
    Then the last once-request is told "keyExpired"
    And the call "0199c82c-6400-7000-8000-000000000001" has run 1 time

  Scenario: An entry stops while an answer is not recorded yet
    # A stopping entry must record the answer first, or a retry at another entry could not replay
    # it.
    Given the platform holds writes of "a" after the claim of "k1"
    Then the last once-request is answered
    When the entry "a" is told to stop its once-calls
    And the held writes of "a" arrive
    Then its once-calls have stopped
    When the call "k1" arrives at "b"
    Then the last once-request replays the first answer byte for byte
