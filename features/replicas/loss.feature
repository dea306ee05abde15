Feature: A running request leaves a replica when the loss of a member is certain

  Scenario Outline: What counts as a loss
    # A leader that stands still keeps its streams open, so their callers wait for as long as the pause
    # lasts. But moving a stream costs the prompt's work once more: one late probe must not do it.
    Given a request that runs at a replica of 3 under number 7
    When one of the members <state>
    Then the request <fate>

    Examples:
      | state                                  | fate                        |
      | reports well                           | stays                       |
      | failed one probe                       | stays                       |
      | was unheard for 1999 ms                | stays                       |
      | was unheard for 2000 ms                | moves: unheard              |
      | reports another start                  | moves: otherIncarnation     |
      | reports a later number                 | moves: otherReplica         |
      | reports that its replica failed        | moves: notReady             |
      | drains with its replica                | stays                       |
      | is in a replica that the plan released | moves: phase                |
