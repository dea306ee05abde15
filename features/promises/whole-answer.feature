Feature: A caller gets the whole answer to their own request

  Processes die, links break and chunks go astray between a caller and the engine that answers.
  Whatever happens, a caller has either every byte of the answer to their own request or is told,
  by an error or a broken connection, that this is not the answer.

  Scenario: Streams that go wrong at the engine end whole at the caller
    # A volunteer at the gate would see half a sentence, a word twice or a stranger's words. The
    # leader of each replica in turn breaks its stream, loses, repeats or mixes up a chunk, or dies
    # between the last token and the end mark, so that a part looks like the whole.
    Given 2 replicas of 2 engines that answer byte for byte known answers
    When streams meet each of these faults at both leaders
      | fault             | at | second attempt from |
      | cutAfter          | 5  | 1 to 5 |
      | gap               | 5  | 5                 |
      | garbage           | 5  | 5                 |
      | dieBeforeEnd      |    | later |
      | noEnd             |    | later |
      | wrongAttempt      |    | 0                 |
      | resetBeforeAnswer |    | 0                 |
      | duplicate         | 5  | none              |
      | foreignChunk      | 5  | none              |
      | afterEnd          |    | none              |
    Then every caller under these faults had the whole answer, streamed or not
    And the second attempts began where the table says

  Scenario: An answer whose engine dies is taken up by the other replica at the exact token
    # The words stop in the middle of an answer. The process of the leading engine was killed while
    # it wrote; the same answer, from the token after the last one shown, exists elsewhere.
    Given 2 replicas of 2 engines that answer byte for byte known answers
    When the leader that writes a long answer is killed in the middle of it
    Then that caller has the whole long answer, byte for byte
    And the other leader wrote only the rest of it
    And the entry's log names this request as resumed

  Scenario: An answer to another request on a kept-alive connection reaches nobody
    # A supervisor would see another worker's record. The service answers an earlier request a second
    # time, and by then the connection carries the next caller's request.
    Given a service that answers the first request of each connection again to the second
    When 12 callers call this service one after the other
    Then each of these callers has the answer to their own call

  Scenario: The death of an entry never looks like the end of an answer
    # The entry's process is killed while it passes on answers. Its connections close, as they do at
    # the end of a body without length: only the end mark, or the length, tells the two apart.
    Given 2 replicas of 2 engines that answer byte for byte known answers
    When the entry is killed while it passes on a stream, an answer in one piece, a call and a download
    Then each of these 4 callers can tell that their answer is not whole
    And the engines let go of what the killed entry had asked for

  Scenario: A thousand requests under faults get their own answers
    # Two entries serve a hundred callers at a time while links are reset and cut short, streams go
    # wrong, calls lose their answers and an engine is killed and comes back.
    Given 2 entries before 4 replicas of 2 engines and 2 services with known answers
    When 1000 requests are served, 100 at a time, while faults go on
    Then nobody has a wrong answer, and whoever has none was told so
    And no request that was told not run is in a journal
    And at least 80 in 100 of these requests have their whole answer
