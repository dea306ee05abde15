Feature: Records of calls that may run only once, over HTTP
  The platform stand-in and the platform client take the place of the fake. Each entry reaches the
  platform through a proxy of its own, which can be made to fail.

  Background:
    Given entries "a" and "b" that reach one platform over HTTP, each through a proxy

  Scenario: Answers are lost on the way back
    # The claim takes effect, but no answer comes through, whatever the client repeats. The caller
    # is told that the request was not run and sends it again to another entry.
    Given no answer of the platform comes back to "a"
    When the call "k1" arrives at "a"
    Then the last once-request is told "recordUnavailable" with a time to come back
    And the call "k1" has run 0 times
    Given the way between "a" and the platform is whole again
    Then the call "k1" sent again to "b" until it is answered has run 1 time

  Scenario: A claim is held up on the way and arrives after the retry
    # The claim hangs in the network until the client has given up, the caller has been told that
    # the request was not run, and the retry at another entry has been answered.
    Given what "a" sends to the platform is held up
    When the call "k1" arrives at "a"
    Then the last once-request is told "recordUnavailable" with a time to come back
    When the call "k1" arrives at "b"
    Then the last once-request is answered
    Given the way between "a" and the platform is whole again
    Then the call "k1" sent again to "a" until it is answered has run 1 time
    And the last once-request replays the first answer byte for byte

  Scenario: An entry of a stored answer has gone
    # The caller's connection broke just before the answer. The entry that has it is stopped; any
    # other entry gives the same bytes from the record.
    When the call "k1" arrives at "a"
    Then the last once-request is answered
    When the entry "a" is told to stop its once-calls
    Then its once-calls have stopped
    When the call "k1" arrives at "b"
    Then the last once-request replays the first answer byte for byte
    And the call "k1" has run 1 time
