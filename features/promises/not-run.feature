Feature: What a caller is told of a request that has no answer is true

  Each error names what may be concluded of the request. "notRun" and "refused" mean that nothing of
  it ran: the caller may ask again, or go elsewhere, without fear of a second run. The journals of
  the engines and services, which the system has no hand in, say what ran.

  Scenario: Told not run, it was not run
    # A supervisor whose check-in was refused sends it again. If the first one had run all the same,
    # the worker would stand on site twice. Each kind of refusal is caused at an entry, and what the
    # caller was told is held against the journals.
    Given an entry before an engine and a service that keep journals of what they run
    When callers meet each of these errors
      | kind                | conclusion |
      | workspaceUnknown    | refused    |
      | notAllowed          | refused    |
      | modelUnknown        | refused    |
      | serviceUnknown      | refused    |
      | routeUnknown        | refused    |
      | invalidRequest      | refused    |
      | bodyTooLarge        | refused    |
      | senderTooSlow       | notRun     |
      | limitExceeded       | notRun     |
      | noCapacity          | notRun     |
      | deadlineBeforeStart | notRun     |
      | keyRequired         | refused    |
      | keyReused           | refused    |
      | keyExpired          | refused    |
      | overloaded          | notRun     |
      | recordUnavailable   | notRun     |
      | notReady            | notRun     |
      | stopping            | notRun     |
    Then each of these callers was told the conclusion beside the error
    And the journals show no run of a request that was told not run or refused

  Scenario: Told that it may have run, or that it failed, a caller is never told "not run"
    # The answer to a check-in is lost after it took effect, or a stream breaks for good. "Not run"
    # would invite a second run of what has run already.
    Given an entry before an engine and a service that keep journals of what they run
    When callers meet each of these errors
      | kind               | conclusion |
      | outcomeUnknown     | unknown    |
      | deadlineAfterStart | unknown    |
      | callInProgress     | unknown    |
      | answerNotKept      | unknown    |
      | messageInvalid     | unknown    |
      | answerCut          | failed     |
    Then each of these callers was told the conclusion beside the error
    And the journals show no run of a request that was told not run or refused

  Scenario: No kind of error is left out
    When the rows of this feature are held against the catalogue of errors
    Then each kind has a row here, or a reason in docs/PROOF.md why no caller is told it
