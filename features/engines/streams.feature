Feature: Answers of engines reach their caller whole or not at all

  Scenario: A whole answer, byte for byte
    Given a replica of 2 engines
    When the caller "a" asks the engines for 40 tokens
    Then "a" has the engine's whole answer

  Scenario: A resumed answer goes on at the exact offset
    Given a replica of 1 engine
    When the caller "a" asks the engines for a long answer
    And the caller "b" asks for the same answer as "a" from token 13 on
    Then "b" has what "a" has after token 13

  # A caller gets words of another caller, a word twice, a hole in a sentence, or half an answer
  # that looks whole. First an engine accepts the request and streams; then it mixes up streams,
  # repeats or skips a token, or dies. The cause is in the engine or its network, and the client
  # is the last place where it can be seen.
  Scenario Outline: What an engine does wrong with a stream: <fault>
    Given a replica of 1 engine
    And the engine's next completion has the fault <fault>
    When the caller "a" asks the engines for 40 tokens
    Then "a" has <received>
    And the engine answers another caller after it

    Examples:
      | fault                                       | received                                    |
      | {"kind":"duplicate","at":3}                 | the engine's whole answer                   |
      | {"kind":"foreignChunk","at":3}              | the engine's whole answer                   |
      | {"kind":"afterEnd"}                         | the engine's whole answer                   |
      | {"kind":"gap","at":3}                       | 3 right tokens and then an error            |
      | {"kind":"garbage","at":3}                   | 3 right tokens and then an error            |
      | {"kind":"hugeLine","at":3,"bytes":300000}   | 3 right tokens and then an error            |
      | {"kind":"cutAfter","after":3}               | a right beginning and then an error         |
      | {"kind":"wrongAttempt"}                     | 0 right tokens and then an error            |
      | {"kind":"dieBeforeEnd"}                     | a right beginning and then an error         |
      | {"kind":"noEnd"}                            | all right tokens and then an error          |

  # Others wait although a place in the batch is free. A caller has gone away or was given up; its
  # request still runs to its end, because nobody told the engine.
  Scenario Outline: <leaving> frees the place in the batch
    Given a replica of 1 engine that runs 1 request at a time, slowly
    When the caller "a" asks the engines for a long answer
    And the caller "b" asks the engines for 5 tokens
    And the caller "a" <leaving>
    Then "b" has the engine's whole answer
    And the engine's journal says that "a" ended as <end>

    Examples:
      | leaving                    | end          |
      | is cancelled               | cancelled    |
      | closes its connection      | disconnected |

  Scenario: Higher priorities are served first
    Given a replica of 1 engine that runs 1 request at a time, slowly
    When the caller "a" asks the engines for a long answer
    And the caller "low" asks the engines with priority 1
    And the caller "high" asks the engines with priority 9
    And the caller "a" is cancelled
    Then the engine gave "high" its first token before "low"

  Scenario: A full engine refuses before anything ran
    Given a replica of 1 engine that runs 1 request at a time, slowly
    When the caller "a" asks the engines for a long answer
    And the caller "b" asks the engines for 5 tokens
    And the caller "c" asks the engines for 5 tokens
    And the caller "d" asks the engines for 5 tokens
    Then "d" is refused by the engine as "overloaded" with a time to come back

  Scenario: The prefix cache is told late, with gaps, and can be moved to another engine
    Given a replica of 2 engines that lose half of their cache events
    When the caller "a" asks the engines with a prompt of 2000 tokens
    And the caller "b" asks the engines with a prompt of 2000 tokens
    Then "b" found 1984 of its prompt tokens in the engine's cache
    And the engine's cache events come in order, late and with gaps
    And the cached prompt can be imported by an engine that did not have it
