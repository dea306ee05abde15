Feature: The examples work as they stand

  # A newcomer copies an example first. One that went stale with a schema costs them the evening and
  # their trust in the rest.

  Scenario Outline: The files of <organisation> are valid
    When the program is run with "check --settings examples/<organisation>/entry.toml examples/<organisation>/objects.toml"
    Then the program exits with 0 and prints "examples/<organisation>/objects.toml: valid"

    Examples:
      | organisation  |
      | kebun-lestari |
      | halvorsen     |

  Scenario Outline: The example of <organisation> weighs <heavier> more
    When the example objects of <organisation> are read
    Then the example policy weighs <heavier> more than <lighter>
    And the example names 10 workspaces
    And the example has a service call that runs at most once
    And the example load uses keys of its workspaces and targets that they may use

    Examples:
      | organisation  | heavier              | lighter              |
      | kebun-lestari | groupDowntime        | strandedAccelerators |
      | halvorsen     | strandedAccelerators | groupDowntime        |

  Scenario: The embedding example plans a domain without sockets or timers
    When the embedding example is run
    Then the embedding example forms two replicas, replaces a lost member's replica and resumes an answer
