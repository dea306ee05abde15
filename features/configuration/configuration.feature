Feature: Configuration in force at every entry
  An accepted change is in force on every entry and is never reverted to an older version.

  Background:
    Given three configured entries at three sites

  Scenario: an entry that cannot be reached holds acceptance up
    Guards against a change being reported as accepted while an isolated entry lacks it.
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
    Guards against an accepted change being reverted by a failover to an outdated copy or by a new entry.
    Given the platform's copy is frozen from now on
    When the operator at "entry-1" sets model "pass-assistant" to 2 replicas
    Then the change is accepted at "entry-1"
    When the platform answers from the frozen copy
    And configured entry "entry-4" starts
    Then configured entry "entry-4" turns its readiness on
    And the change is in force at configured entries "entry-1, entry-2, entry-3, entry-4"

  Scenario: an entry asks the platform while its own watch has gone silent
    Guards against an outdated configuration being confirmed by probes while the watch delivers nothing.
    Given configured entry "entry-1" is cut off from the other entries
    And the watch of configured entry "entry-1" delivers nothing
    When model "pass-assistant" is set to 2 replicas at the platform
    Then the change is in force at configured entry "entry-1" before it is confirmed there

  Scenario: an outage right after the write
    Guards against a change that only one entry received from the platform not reaching its peers.
    Given configured entries "entry-2, entry-3" are cut off from the platform
    When the operator at "entry-1" sets model "pass-assistant" to 2 replicas
    And the platform becomes unavailable as soon as "entry-1" has the change in force
    Then the change is accepted at "entry-1"
    And the change is in force at configured entries "entry-1, entry-2, entry-3"

  Scenario: an entry starts during an outage
    Guards against a new entry serving callers before it has the configuration of its peers.
    Given the platform is unavailable for the configured entries
    When configured entry "entry-4" starts
    Then configured entry "entry-4" turns its readiness on
    And configured entry "entry-4" still has model "pass-assistant" with 1 replicas

  Scenario: an entry starts alone during an outage
    Guards against an entry becoming ready without any configuration and refusing every caller.
    Given all configured entries have stopped
    And the platform is unavailable for the configured entries
    When configured entry "entry-4" starts
    Then configured entry "entry-4" is not ready because it has no configuration
    When the platform is available again for the configured entries
    Then configured entry "entry-4" turns its readiness on

  Scenario: two operators change the same model at once
    Guards against a lost update: the second operator must be told which version won.
    When operators at "entry-1" and "entry-2" change model "pass-assistant" from the same version
    Then one of the two operators wins and the other is told which version won
    And the winner's model is in force at configured entries "entry-1, entry-2, entry-3"

  Scenario: an invalid object in the platform
    Guards against an invalid object replacing the last valid version, also on entries that start later.
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
