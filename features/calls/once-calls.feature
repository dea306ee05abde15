Feature: Calls that may run only once
  A pass issue, a slot booking or a check-in carries an Idempotency-Key. Whatever fails, it runs at
  most once, and a caller who is told that a request was not run can rely on it.

  Background:
    Given entries "a" and "b" that keep call records in one platform

  Scenario: Two taps on the same button
    # A trader taps twice on a bad line. The balancer sends the taps to two entries within the same
    # millisecond, so neither knows of the other's request. Only the record decides.
    When the call "k1" arrives at "a" and "b" at the same time
    Then one of the two requests is answered and the other is told "callInProgress" or replayed
    And the call "k1" has run 1 time
    When the record of "k1" has been settled
    And the call "k1" arrives again at "b"
    Then the last once-request replays the first answer byte for byte

  Scenario: A second tap at the same entry while the first is in progress
    # The backend server is slow, the caller gives up waiting and sends the call again.
    Given the backend server holds once-calls
    When the call "k1" arrives at "a"
    And the call "k1" has reached the backend server
    And the call "k1" arrives again at "a"
    Then the last once-request is told "callInProgress" with a time to come back
    When the backend server releases its once-calls
    And the call "k1" arrives again at "a"
    Then the last once-request replays the first answer byte for byte
    And the call "k1" has run 1 time

  Scenario: The platform's answer to a claim is lost
    # The claim takes effect, its answer never comes, and the caller is told that the request was
    # not run. Without a settlement the key would stay claimed by an entry that never sends it.
    Given the platform's answers to "a" are lost
    When the call "k1" arrives at "a"
    Then the last once-request is told "recordUnavailable" with a time to come back
    And the call "k1" has run 0 times
    Given the platform answers "a" again
    Then the call "k1" sent again to "b" until it is answered has run 1 time

  Scenario: A claim takes effect long after its entry has given it up
    # The claim hangs in a queue on the way. The caller is told that the request was not run and
    # tries elsewhere, where the call runs. Then the old claim arrives.
    Given writes of "a" arrive late
    When the call "k1" arrives at "a"
    Then the last once-request is told "recordUnavailable" with a time to come back
    When the call "k1" arrives at "b"
    Then the last once-request is answered
    When the late writes of "a" arrive
    And the call "k1" arrives again at "b"
    Then the last once-request replays the first answer byte for byte
    And the call "k1" has run 1 time

  Scenario: A late claim arrives before the caller tries elsewhere
    # As above, but the late claim wins the race against the retry. The retry has to wait until the
    # claimant has said that it never sent the call; then it runs.
    Given writes of "a" arrive late
    When the call "k1" arrives at "a"
    Then the last once-request is told "recordUnavailable" with a time to come back
    When the late writes of "a" arrive
    And the call "k1" arrives at "b"
    Then the last once-request is told "callInProgress" with a time to come back
    Given the platform answers "a" again
    Then the call "k1" sent again to "b" until it is answered has run 1 time

  Scenario: An entry dies between its claim and the answer
    # The claim stands and nobody but the dead entry knows whether the call reached the backend
    # server. Another run might be the second, so the outcome is unknown, and stays so.
    Given the backend server holds once-calls
    When the call "k1" arrives at "a"
    And the call "k1" has reached the backend server
    And the entry "a" is killed
    And the call "k1" arrives at "b"
    Then the last once-request is told "callInProgress" with a time to come back
    When 61 seconds pass for once-calls
    And the call "k1" arrives at "b"
    Then the last once-request is told "outcomeUnknown"
    When the call "k1" arrives at "b"
    Then the last once-request is told "outcomeUnknown"
    And the call "k1" has run 1 time

  Scenario: An entry answers and dies before the answer is recorded
    # The caller has the answer, but its record still says claimed when the entry dies. A retry can
    # not be given the answer any more and must not run the call again.
    Given the platform holds writes of "a" after the claim of "k1"
    Then the last once-request is answered
    When the entry "a" is killed
    And "b" hears of another start of "a"
    And the call "k1" arrives at "b"
    And 11 seconds pass for once-calls
    And the call "k1" arrives at "b"
    Then the last once-request is told "outcomeUnknown"
    And the call "k1" has run 1 time

  Scenario: An entry that was taken for dead comes back
    # It was only cut off. In the meantime another entry has recorded the outcome as unknown; what
    # callers were told then stays so, and the late answer does not change it.
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
    # The claim is written while the entry is suspended. When it wakes, its caller has long been
    # told that the call was not run, so it must not be sent; and the key must be free again.
    Given the platform holds writes of "a"
    When the call "k1" arrives at "a" with 200 ms to its deadline
    Then the last once-request is told "deadlineBeforeStart"
    When the held writes of "a" arrive
    Then the call "k1" sent again to "b" until it is answered has run 1 time

  Scenario: A repeat meets an entry that has not learnt yet how its claim ended
    # An entry is paused while the answer to its claim is on the way. Others give the claim up and
    # tell callers that the outcome is unknown. The entry wakes and tells its own caller "not run"; a
    # repeat that reaches it before the answer does was told "in progress", though nothing was: what
    # the paused entry held of the call was taken for what holds now.
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
    # As above, but the platform stays silent. The repeat is not held beyond its own deadline.
    Given the platform holds its answers to "a"
    When the call "k1" arrives at "a" with 100 ms to its deadline
    Then the last once-request is told "deadlineBeforeStart"
    When the call "k1" is repeated at "a" with 100 ms to its deadline
    Then the last once-request is told "callInProgress" with a time to come back
    And the call "k1" has run 0 times

  Scenario: The platform is down
    # For minutes no record can be made. Calls with a new key are refused at once and not run; a
    # call in progress is answered, and its answer is recorded once the platform is back.
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
    # No instance of the service takes connections. The caller is told so, and the key is not lost.
    Given no backend server takes once-calls
    When the call "k1" arrives at "a"
    Then the last once-request is told "noCapacity"
    Given the backend server takes once-calls again
    Then the call "k1" sent again to "b" until it is answered has run 1 time

  Scenario Outline: The connection to the backend server is lost after sending
    # Whether the call took effect can't be known, then or later.
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
    # The caller gets it whole. A replay is refused rather than cut short.
    Given the backend server answers once-calls with 600000 bytes
    When the call "k1" arrives at "a"
    Then the last once-request is answered
    When the record of "k1" has been settled
    And the call "k1" arrives at "b"
    Then the last once-request is told "answerNotKept"
    And the call "k1" has run 1 time

  Scenario: A key older than the retention
    # A phone that was off for two days sends its last call again. The record has been removed, so
    # the key looks new; the time that it carries says that it is not.
    When the call with a key made 25 hours ago arrives at "a"
    Then the last once-request is told "keyExpired"
    And no once-call has run

  Scenario Outline: The collection of old records
    # A key without a time in it looks new as soon as its record is gone, so that record stays, cut
    # down to a mark. The record of a key with a time is deleted.
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
    # A key with a time is refused for its age, until an operator lengthens the retention: then its
    # age is fine again, and its record is gone. The platform's tombstone tells that it was used.
    When the call "0199c82c-6400-7000-8000-000000000001" arrives at "a"
    Then the last once-request is answered
    When 30 hours pass and "b" collects old call records
    And the retention of call records at "b" becomes 72 hours
    And the call "0199c82c-6400-7000-8000-000000000001" arrives at "b"
    Then the last once-request is told "keyExpired"
    And the call "0199c82c-6400-7000-8000-000000000001" has run 1 time

  Scenario: An entry stops while an answer is not recorded yet
    # The entry has answered its caller and is told to stop. Would it end at once, a retry at
    # another entry could not be given the answer.
    Given the platform holds writes of "a" after the claim of "k1"
    Then the last once-request is answered
    When the entry "a" is told to stop its once-calls
    And the held writes of "a" arrive
    Then its once-calls have stopped
    When the call "k1" arrives at "b"
    Then the last once-request replays the first answer byte for byte
