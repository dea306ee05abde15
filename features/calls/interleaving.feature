Feature: Calls that may run only once under any order of events
  Random orders of requests, retries, lost and late writes, deadlines and entry failures, with three
  entries and two keys.

  Scenario: Never two runs, never a false "not run"
    # Guards against duplicate execution, and against a "not run" report for a call that has run.
    When once-calls are run with random event orders, with entry failures
    Then no key has run twice and no request reported as not run has run
    And all replays of a key are the same bytes as its first answer

  Scenario: No key stays blocked
    # Guards against claims that stay in progress forever: without entry failures, every key has a
    # final outcome once the faults have ended.
    When once-calls are run with random event orders, without entry failures
    Then no key has run twice and no request reported as not run has run
    And a retry of each key is answered or told that its outcome is unknown
