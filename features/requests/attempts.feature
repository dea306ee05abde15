Feature: One completion over its attempts, in any order of events
  Property tests of the state machine alone, without engines or a clock.

  Scenario: Any order of events
    # Chunks arrive late, twice, mixed up or not at all; callers disconnect and deadlines pass.
    When 3000 random orders of attempt events are played
    Then every request got at most one final answer and nothing after it
    And every relayed text is the start of the right answer, without holes or repeats
    And every finished answer is whole
    And no request of which an attempt may have run is told that it was not run
    And every attempt that was given up while under way was cancelled

  Scenario: Metrics keep their number of series bounded
    # The number of metric series must not grow with the number of workspaces.
    When 500 workspaces are timed
    Then the metrics name at most 65 workspaces, one of them "other"
