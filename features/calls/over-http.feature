Feature: Records of calls that may run only once, over HTTP
  Uses the platform stand-in and the real platform client. Each entry connects through its own
  proxy, which can inject faults.

  Background:
    Given entries "a" and "b" that reach one platform over HTTP, each through a proxy

  Scenario: Answers are lost on the way back
    # The claim takes effect, but all responses to it are lost. A retry at another entry must run
    # the call exactly once.
    Given responses of the platform to "a" are lost
    When the call "k1" arrives at "a"
    Then the last once-request is told "recordUnavailable" with a retry delay
    And the call "k1" has run 0 times
    Given the connection between "a" and the platform works again
    Then the call "k1" sent again to "b" until it is answered has run 1 time

  Scenario: A claim is held up on the way and arrives after the retry
    # The claim arrives after the caller was told "not run" and a retry at another entry was
    # answered. It must not run the call again.
    Given requests from "a" to the platform are held
    When the call "k1" arrives at "a"
    Then the last once-request is told "recordUnavailable" with a retry delay
    When the call "k1" arrives at "b"
    Then the last once-request is answered
    Given the connection between "a" and the platform works again
    Then the call "k1" sent again to "a" until it is answered has run 1 time
    And the last once-request replays the first answer byte for byte

  Scenario: An entry of a stored answer has gone
    # After the entry that ran the call has stopped, another entry replays the same bytes from the
    # record.
    When the call "k1" arrives at "a"
    Then the last once-request is answered
    When the entry "a" is told to stop its once-calls
    Then its once-calls have stopped
    When the call "k1" arrives at "b"
    Then the last once-request replays the first answer byte for byte
    And the call "k1" has run 1 time
