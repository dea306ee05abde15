Feature: Routing and limits as an entry runs them

  # Guards against a burst of one workspace that delays the others in the queues of the engines.
  # A crowding workspace is a noisy neighbor, which uses far more than its fair share.
  Scenario: Requests of a crowding workspace have a lower engine priority
    Given an entry that routes for workspaces "market" and "traders"
    When "traders" asks 1 question and then "market" asks 50 at once
    Then the engines saw the first question at the priority of its class
    And the engines saw the others at the priority of their class and at a lower one

  # Guards against each entry applying the limit for noisy neighbors to all replicas, which would
  # multiply the limit by the number of entries.
  Scenario: The part of the replicas that a crowding workspace may use is divided by the entries
    Given a dispatcher of an entry with 3 live peers before 16 replicas
    When 1 request of one workspace and 80 of another are offered to it
    Then at most 51 requests of the flood went out while none was answered

  # Guards against refusing the first requests of a new workspace because its key is accepted before
  # its limit share is computed.
  Scenario: A workspace has a limit share in the turn in which it appears
    Given the limits component of an entry that has started
    When a configuration with a new workspace comes into force
    Then that workspace has a limit share in the same turn
