Feature: Stand-ins reset connections

  # Guards against a run that never ends: Node waits at its exit, with a busy core, for a handle that it has given up.
  Scenario: A connection is reset while it is being closed
    Given a connection whose sending side is being closed by a stand-in
    When the stand-in resets it
    Then it is closed on both sides within 1000 ms, without an error
