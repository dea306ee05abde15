Feature: Faults together and at random

  Engines and entries are killed, frozen, cut off and drained, the platform goes away, answers from
  an old copy or loses answers, operators race each other: in an order drawn from a seed, several at
  a time, while callers ask. An observer judges by the callers' replies and the journals.

  Scenario Outline: seed <seed>
    When the faults of seed <seed> come over 6 seconds
    Then no invariant of the random faults was broken

    Examples: engines that check fencing numbers, and engines that ignore them
      | seed |
      | 4    |
      | 5    |

  # Guards against two entries under one name, whose configurations then seem to go back.
  Scenario: Entries that replace killed ones start at the same time
    Given a deployment with 1 entry
    When 2 more entries start at the same time
    Then 3 entries run under names of their own
