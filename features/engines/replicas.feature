Feature: A replica of engines is ready as a whole or not at all

  Scenario: The leader waits for every member
    Given 3 engines without a replica
    When the engines of rank 0 and 1 are ordered into a replica
    Then the engine of rank 1 gets ready and the leader stays loading
    When the engine of rank 2 is ordered into the replica
    Then the leader gets ready

  # Callers read answers that stop in the middle. One machine of a replica dies while its leader
  # streams; the leader can't go on alone. The cause is that all members compute every token.
  Scenario: A member dies while the leader streams
    Given a replica of 3 engines
    When the caller "a" asks the engines for a long answer
    And the engine of rank 2 dies
    Then the leader fails
    And "a" has a right beginning and then an error
    And the engine of rank 1 fails
    And the engines refuse the caller "b" as "notReady"

  # Nothing seems to be wrong: every member answers its health checks. But one died and came back
  # at once, empty, under the same name and address. Only its incarnation tells.
  Scenario: A member dies and comes back as if nothing had happened
    Given a replica of 2 engines
    When the engine of rank 1 dies and comes back at once at its address
    Then the leader fails

  # Answers stall and never end. One machine of a replica freezes, or its link dies: connections
  # stay open and nothing comes. The leader has to give the member up by its own clock.
  Scenario: A member falls silent while its connections stay open
    Given a replica of 2 engines with a proxy before the engine of rank 1
    When nothing passes the proxy before that engine any more
    Then the leader fails

  Scenario: A released member ends its replica
    Given a replica of 2 engines
    When the engine of rank 1 is released with fence 2
    Then the leader fails

  # A replica that was just formed is torn down. Its owner was paused, lost its lease and woke up;
  # its order is older than the replica. The fencing number tells, if the engine looks at it.
  Scenario Outline: An old order meets an engine whose fencing is <fencing>
    Given a replica of 1 engine formed with fence 5, whose fencing is <fencing>
    When the engine of rank 0 is released with fence 4
    Then the order was <outcome> and the engine is <state>

    Examples:
      | fencing | outcome     | state |
      | checked | refused     | ready |
      | ignored | staleObeyed | idle  |

  Scenario: Draining finishes what runs and takes nothing new
    Given a replica of 1 engine
    When the caller "a" asks the engines for a long answer
    And the engine of rank 0 is drained with fence 2
    Then the engines refuse the caller "b" as "notReady"
    And "a" has the engine's whole answer

  Scenario: Engines load from a weight store that shares its rate
    Given a weight store of 1000000 bytes a second and models of 100000 bytes
    And 2 engines that load from the weight store
    When the engines of rank 0 and 1 are ordered into a replica
    Then the leader gets ready not before 200 ms have passed
