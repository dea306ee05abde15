@load-tool
Feature: The load tool tells what callers see

  # A tool that waits for each answer before it sends the next measures a slow system kindly: while
  # the system stalls, nothing is sent, so nothing is late. And one that counts a stream without end
  # mark as an answer reports success for a caller who got half of one.

  Scenario: Arrivals do not wait for answers
    Given a caller address that answers whole after 420 ms
    When load is put on it with 40 requests a second for 1 second
    Then at least 8 load requests were open at once
    And every load request is counted as whole with a total of at least 400 ms

  Scenario: An answer without an end mark is not whole
    Given a caller address that breaks streams off
    When load is put on it with 40 requests a second for 1 second
    Then every load request is counted as cut

  Scenario: An error event is counted by its kind
    Given a caller address that ends streams with an error event "answerCut"
    When load is put on it with 40 requests a second for 1 second
    Then every load request is counted as the error "answerCut"

  Scenario: The same seed gives the same arrivals
    Then load arrivals are the same for the same seed and follow the rate within a tenth
