Feature: Decisions of a gateway, tested without a network

  Scenario: A stream is cut anywhere and goes on
    The caller gets each event once and in order, and never a partial one, although the next run may
    repeat events.
    When 300 random streams are interrupted at random bytes and resumed
    Then each is delivered as without an interruption

  Scenario: Repeats of all gateways together stay within the operator's bound
    Guards against repeats that amplify an overload.
    When 9 gateways repeat as many requests as allowed under 12 random loads
    Then no window of 10000 ms has more repeats than the bound allows

  # Guards against recomputing values ten times a second, and against using them after a change.
  Scenario: A derived value is recomputed only when its inputs change
    When a memoized function of two values is called with "a b", "a b", "a c", "a c" and "a b"
    Then it is computed 3 times, and each result matches its arguments

  # Guards against a cost per change that grows with the size of the fleet.
  Scenario: Only what has changed of a large fleet is looked at
    Given a fleet of 1700 backend servers
    When one of them drains, one ends, and one writes the same entry again
    Then the fleet lists just the two that changed
    And once a server that vanished in an outage is removed the fleet lists just that one as changed

  Scenario: Entries that vanish around an outage of the store count for a while
    Given a fleet of 3 backend servers
    When the store returns without them and 2 reappear in time
    Then all 3 are kept until the deadline, and 2 afterwards

  Scenario: A stopping gateway starts only requests that end within the grace period
    A request that takes up to 1.25 times its expected time (twice if it can't be repeated), or until
    its answer is due, must not run past the grace period. One that surely ends in time is accepted.
    When 500 random requests arrive at random moments of a stop
    Then none that is started outlasts the grace period
    And none is refused whose answer is due before the grace period ends

  Scenario: Recent durations adjust the estimate of a request
    When a stream estimated at 1000 ms took 4000 ms
    Then the next is expected to take 4 times its estimate, and 2.5 times 10000 ms later
    And an estimate without a maximum number of output tokens is infinite
