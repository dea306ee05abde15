Feature: Why the requests of a span of time were late or not served

  Scenario Outline: A request that <happened>
    Given the lines of a request that <happened>
    When the lines are diagnosed
    Then 1 request counts as <outcome> for the cause "<cause>"

    Examples:
      | happened                               | outcome  | cause            |
      | began late at its only server          | late     | slowFirstEvent   |
      | paused too long                        | late     | pauseInStream    |
      | went to a slow server                  | late     | slowServer       |
      | was sent again after a stall           | late     | stalled          |
      | was sent again after a refusal         | late     | refusedByServer  |
      | waited for a replica                   | late     | waitedForReplica |
      | found no replica                       | unserved | noReplica        |
      | would have waited in vain              | unserved | noRoom           |
      | came from a workspace over its share   | unserved | shareUsed        |
      | had no retry left                      | unserved | noRetryLeft      |
      | found all servers in a cooldown        | unserved | allCoolingDown   |
      | found all its servers evacuated        | unserved | evacuated        |
      | found no gateway with links            | unserved | outOfReach       |
      | broke off at its server                | unserved | connectionBroken |
      | was failed by its server               | unserved | serverFailed     |
      | ran out of time                        | unserved | timeUp           |
      | met a stopping gateway                 | unserved | gatewayStopping  |
      | was refused at the door                | unserved | refusedAtDoor    |

  # Guards against losses that no cause accounts for, and against lines that are skipped in silence.
  Scenario: The causes add up to the loss
    Given the lines of 200 requests of all kinds, 3 of which can not be read
    When the lines are diagnosed
    Then the causes of each route add up to its late and unserved requests
    And 3 lines are told as unread, with their beginnings

  Scenario: A large log
    Given a log of 200000 lines
    When the lines are diagnosed
    Then it took less than 5 s

  Scenario: Nothing to diagnose
    When "diagnose" reads an empty log
    Then it exits with 4

  # Guards against a limit of the fleet that each gateway seems to keep by its own log.
  Scenario: Loads of weights are summed over gateways
    Given the logs of 3 gateways that each ordered 4 loads within a second, and 2 more 20 s later
    When their loads are diagnosed
    Then 18 loads are told, 12 of them within 5 s
