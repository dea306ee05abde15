@running-program
Feature: Operators change and watch the system from the command line

  Scenario: A change is applied, accepted and seen
    Given development mode is running
    And an operators' file with:
      """
      [[workspace]]
      name = "helpline"
      weight = 3
      """
    When an operator runs "apply -f {file}"
    Then the operator's command exits with 0 and prints "accepted: revision"
    When an operator runs "apply -f {file}"
    Then the operator's command exits with 0 and prints "unchanged"
    When an operator runs "get workspace helpline --json"
    Then the operator's command exits with 0 and prints ""weight":3"
    When an operator runs "label model pass-assistant audience=gate note-"
    Then the operator's command exits with 0 and prints "accepted: revision"
    When an operator runs "get model pass-assistant"
    Then the operator's command exits with 0 and prints ""audience": "gate""
    When an operator runs "status"
    Then the operator's command exits with 0 and prints "model pass-assistant: 2 of 2 replicas serve"

  # An operator applies a change while one entry is cut off from everybody. It may still be serving
  # callers by the older configuration. "Accepted" would be untrue, and an error would be too: the
  # change is written. So the command names the entry and exits with a code of its own.

  Scenario: A change stays pending while an entry is not heard
    Given development mode is running
    And the platform lists an entry "entry-cut-off" that nobody hears
    And an operators' file with:
      """
      [[workspace]]
      name = "helpline"
      weight = 4
      """
    When an operator runs "apply -f {file} --wait-ms 500"
    Then the operator's command exits with 5 and prints "entry-cut-off (not heard)"

  Scenario: A service instance is drained before it is stopped
    Given development mode is running
    When an operator runs "drain pass-office-1"
    Then the operator's command exits with 0 and prints "pass-office-1: drained, may be stopped"

  Scenario: An unknown object is refused
    Given development mode is running
    When an operator runs "get model no-such-model"
    Then the operator's command exits with 4 and complains of "objectUnknown"

  # Two operators change one model at the same moment. The second one's write meets a version that it
  # has not read. If it went through, the first one's change would be undone and nobody would know.

  Scenario: The loser of a race is told which version won
    Given an entry whose operators' API answers a write with a conflict won by version 41
    And an operators' file with:
      """
      [[model]]
      name = "pass-assistant"
      replicas = 4
      """
    When an operator runs "apply -f {file}"
    Then the operator's command exits with 4 and complains of "version 41 won"

  # The entry dies between the platform's taking the write and its own answer. The operator must not
  # read "failed" and make the change a second time in another way.

  Scenario: A lost answer leaves the change in doubt, and the command says so
    Given an entry whose operators' API closes the connection on a write
    And an operators' file with:
      """
      [[model]]
      name = "pass-assistant"
      replicas = 4
      """
    When an operator runs "apply -f {file}"
    Then the operator's command exits with 3 and complains of "the change may have been made"

  Scenario: A change that was never sent is not in doubt
    When an operator runs "label model pass-assistant audience=gate" against an address where nothing listens
    Then the operator's command exits with 3 and complains of "cannot be reached"
    And the operator's command leaves nothing in doubt
