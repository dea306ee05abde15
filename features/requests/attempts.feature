Feature: One completion over its attempts, in any order of events
  The decision alone, without engines or time: whatever comes in whatever order.

  Scenario: Any order of events
    # Answers arrive late, twice, mixed up or not at all, callers leave and deadlines pass, in every
    # order that a poor link can make of it.
    When 3000 random orders of attempt events are played
    Then every request got at most one final answer and nothing after it
    And every relayed text is the start of the right answer, without holes or repeats
    And every finished answer is whole
    And no request of which an attempt may have run is told that it was not run
    And every attempt that was given up while under way was cancelled

  Scenario: Metrics keep their number of series bounded
    # Operators create a workspace for each market day; the metrics store must not grow with them.
    When 500 workspaces are timed
    Then the metrics name at most 65 workspaces, one of them "other"
