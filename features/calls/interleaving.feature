Feature: Calls that may run only once under any order of events
  Requests, retries, lost and late writes, deadlines, entries that die and entries that are taken for
  dead come in an arbitrary order, over three entries and two keys.

  Scenario: Never two runs, never a false "not run"
    # A caller sees two passes for one payment, or is told "not run" and finds the slot booked. The
    # cause would be one order among many of the events above, so very many are tried.
    When random orders of events befall once-calls, with entries lost
    Then no key has run twice and no request that was told so has run
    And all replays of a key are the same bytes as its first answer

  Scenario: No key stays blocked
    # A claim that nobody will send would leave a trader with "in progress" for ever. While no entry
    # is lost, every key is answered or known to be unknown once the faults have ended.
    When random orders of events befall once-calls, without entries lost
    Then no key has run twice and no request that was told so has run
    And a retry of each key is answered or told that its outcome is unknown
