Feature: The program answers plainly and starts nothing by mistake

  Scenario: Help lists the commands
    When the program is run with "--help"
    Then the program exits with 0 and prints "check"

  Scenario: The version
    When the program is run with "--version"
    Then the program exits with 0 and prints "0.1.0"

  Scenario: An unknown command
    When the program is run with "serve"
    Then the program exits with 2 and complains of "Unknown command: serve"

  Scenario: An unknown flag
    When the program is run with "check --setings entry.toml"
    Then the program exits with 2 and complains of "--setings"

  Scenario: A settings file that is not there
    When the program is run with "check --settings no-such-file.toml"
    Then the program exits with 2 and complains of "no-such-file.toml"

  @object-file
  Scenario: An object file that is not valid
    Given an object file with:
      """
      [[model]]
      name = "pass-assistant"
      replicas = "four"

      [[modell]]
      name = "other"
      """
    When the program checks the object file
    Then the program exits with 2 and complains of "model "pass-assistant" replicas"
    And the program exits with 2 and complains of "modell"

  @object-file
  Scenario: An object named twice
    Given an object file with:
      """
      [[model]]
      name = "pass-assistant"
      replicas = 4

      [[model]]
      name = "pass-assistant"
      replicas = 2
      """
    When the program checks the object file
    Then the program exits with 2 and complains of "keep one of the two"
