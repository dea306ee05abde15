Feature: Development mode shows the main job

  Scenario: One whole answer, then a graceful stop
    When the program is run with "dev --once"
    Then the program exits with 0 and prints "The answer is whole"

  # A newcomer starts the system and pastes a line that it printed. If that line does not work, the
  # first thing they learn is not to trust the rest. Then they press Ctrl-C and the process must go.

  @running-program
  Scenario: The printed lines work, and a signal ends it
    Given development mode is running
    When every curl line that it printed is sent
    Then every answer to a printed line is a success
    And the printed completion line gave a whole stream
    When the running program gets SIGTERM
    Then the running program exits with 0
    And it was gone within 10000 ms of the signal, though its watches wait for twice as long

  # An operator's service manager starts an entry on a file with a slip. The entry must say so and
  # be gone, with no port open that a balancer could find.

  Scenario: An entry does not start on settings that are wrong
    When the program is run with "entry --settings features/cli/wrong-entry.toml"
    Then the program exits with 2 and complains of "replicas.leaseMs = 6"
    And the program has printed no address
