Feature: Routing and limits as an entry runs them

  # One workspace sends hundreds of requests at once. The engines serve by priority, and what the
  # entry sent of the flood stands before the other workspace's requests there.
  Scenario: Requests of a crowding workspace have a lower engine priority
    Given an entry that routes for workspaces "market" and "traders"
    When "traders" asks 1 question and then "market" asks 50 at once
    Then the engines saw the first question at the priority of its class
    And the engines saw the others at the priority of their class and at a lower one

  # Each of four entries believes that all replicas are its own to fill. A flood that comes through
  # all of them takes four times the part that is meant for it.
  Scenario: The part of the replicas that a crowding workspace may use is divided by the entries
    Given a dispatcher of an entry with 3 live peers before 16 replicas
    When 1 request of one workspace and 80 of another are offered to it
    Then at most 51 requests of the flood went out while none was answered

  # An operator adds a workspace and its first callers are refused as over their limit, because its
  # share is worked out a moment after its key is known.
  Scenario: A workspace has a limit share in the turn in which it appears
    Given the limits part of an entry that has started
    When a configuration with a new workspace comes into force
    Then that workspace has a limit share in the same turn
