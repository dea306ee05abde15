Feature: A running request leaves a replica when the loss of a member is certain

  Scenario Outline: What counts as a loss
    # Guards against callers that wait for a suspended leader, and against moving a stream, which
    # repeats the prefill, because of a single late probe.
    Given a request that runs at a replica of 3 with fencing token 7
    When one of the members <state>
    Then the request <outcome>

    Examples:
      | state                                  | outcome                     |
      | reports that it is ready               | stays                       |
      | failed one probe                       | stays                       |
      | sent no report for 1999 ms             | stays                       |
      | sent no report for 2000 ms             | moves: unheard              |
      | reports another incarnation            | moves: otherIncarnation     |
      | reports a higher fencing token         | moves: otherReplica         |
      | reports that its replica failed        | moves: notReady             |
      | drains with its replica                | stays                       |
      | is in a replica that the plan released | moves: phase                |
