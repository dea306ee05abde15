Feature: Configuration in force at every entry
  What operators change holds everywhere once it is accepted, and never gives way to an older one.

  Background:
    Given three configured entries at three sites

  Scenario: an entry that cannot be reached holds acceptance up
    An operator changes a model while one entry is cut off. The gate behind that entry still works
    by the older model. The operator must not be told "accepted" before the entry is back and has it.
    Given configured entry "entry-3" is cut off from everything
    When the operator at "entry-1" sets model "pass-assistant" to 2 replicas
    Then the change is in force at configured entries "entry-1, entry-2"
    And the change is pending at "entry-1" because of "entry-3"
    And configured entry "entry-3" turns its readiness off
    And configured entry "entry-3" still has model "pass-assistant" with 1 replicas
    When the configured entries are all connected again
    Then the change is accepted at "entry-1"
    And the change is in force at configured entries "entry-1, entry-2, entry-3"
    And configured entry "entry-3" turns its readiness on

  Scenario: the platform answers from an old copy
    A change is accepted. Then the platform fails over to a copy that lacks it, and an entry starts.
    Neither may bring the older model back, or a gate would be served by what was replaced.
    Given the platform's copy stands still from now on
    When the operator at "entry-1" sets model "pass-assistant" to 2 replicas
    Then the change is accepted at "entry-1"
    When the platform answers from the copy that stood still
    And configured entry "entry-4" starts
    Then configured entry "entry-4" turns its readiness on
    And the change is in force at configured entries "entry-1, entry-2, entry-3, entry-4"

  Scenario: an entry asks the platform while its own watch has gone silent
    One entry hears no other, and the connection of its watch brings nothing any more. It asks the
    platform now and then, as it has to know that it is not cut off, and is answered; yet it goes on
    by what it had and calls that confirmed, until the watch ends by itself.
    Given configured entry "entry-1" is cut off from the other entries
    And the watch of configured entry "entry-1" brings nothing any more
    When model "pass-assistant" is set to 2 replicas at the platform
    Then the change is in force at configured entry "entry-1" before it is confirmed there

  Scenario: an outage right after the write
    The platform takes a change, tells one entry of it and goes away for long. The other entries
    are cut off from it from the start. They learn the change from their peer, and the operator is
    told "accepted" during the outage.
    Given configured entries "entry-2, entry-3" are cut off from the platform
    When the operator at "entry-1" sets model "pass-assistant" to 2 replicas
    And the platform goes away as soon as "entry-1" has the change in force
    Then the change is accepted at "entry-1"
    And the change is in force at configured entries "entry-1, entry-2, entry-3"

  Scenario: an entry starts during an outage
    An instance is replaced while the platform is away. The new entry keeps nothing from before. It
    is given callers only once it has the configuration of its peers.
    Given the platform is away for the configured entries
    When configured entry "entry-4" starts
    Then configured entry "entry-4" turns its readiness on
    And configured entry "entry-4" still has model "pass-assistant" with 1 replicas

  Scenario: an entry starts alone during an outage
    Every instance is replaced while the platform is away. There is nobody to ask, and serving
    without workspaces would refuse every caller for good. Readiness stays off until the platform is
    back.
    Given all configured entries have stopped
    And the platform is away for the configured entries
    When configured entry "entry-4" starts
    Then configured entry "entry-4" is not ready for want of configuration
    When the platform is back for the configured entries
    Then configured entry "entry-4" turns its readiness on

  Scenario: two operators change the same model at once
    Both read version N and send their change. One wins. The other must learn that it lost, and to
    which version, or it would believe its change to be in force.
    When operators at "entry-1" and "entry-2" change model "pass-assistant" from the same version
    Then one of the two operators wins and the other is told which version won
    And the winner's model is in force at configured entries "entry-1, entry-2, entry-3"

  Scenario: an invalid object in the platform
    Somebody writes to the platform past the checks. The model must go on being served by its last
    valid version, at entries that start later too, and status must name what was rejected.
    When model "pass-assistant" is written to the platform with replicas -1
    Then status at "entry-2" lists model "pass-assistant" as rejected
    When configured entry "entry-4" starts
    Then configured entry "entry-4" turns its readiness on
    And configured entry "entry-4" still has model "pass-assistant" with 1 replicas

  Scenario Outline: a change that is not valid is refused before it is written
    When the operator at "entry-1" applies <kind> "<name>" with <value>
    Then the operator is told that "<key>" is wrong and nothing was written

    Examples:
      | kind      | name           | value                                | key          |
      | model     | extra          | {"replicas": -1}                     | replicas     |
      | model     | extra          | {"replicas": 1, "replica_size": 2}   | replica_size |
      | service   | pass-assistant | {}                                   | name         |
      | policy    | other          | {}                                   | name         |
      | workspace | second         | {"keyHashes": ["HASH-OF-FIRST"]}     | keyHashes.0  |
