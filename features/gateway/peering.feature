Feature: Gateways know each other at a cost that does not grow with their number

  Scenario: A fleet of sixty-four finds itself
    # Sixty-four gateways start within a moment. Each has to know who lives, to share out the fabric
    # domains, and what the others have under way, to choose among replicas. Were each to talk to
    # each, the smallest instances would do little else.
    Given 4 failure domains of 16 gateways each that exchange digests
    When 4000 ms pass among them
    Then each of them knows that all others live
    And each of them knows the load of all others
    And one of them answers for each failure domain
    And over 10000 ms none has more than 40 exchanges a second, and on average they have at most 5

  Scenario: A few gateways exchange with all
    Given 3 failure domains of 3 gateways each that exchange digests
    When 2000 ms pass among them
    Then each of them knows that all others live
    And each of them knows the load of all others

  Scenario: Those who answer for others die
    # All hubs lose power at one moment. The others notice that they hear nothing, turn to the same
    # next ones, and nobody goes on counting the dead among the living.
    Given 4 failure domains of 16 gateways each that exchange digests
    And 4000 ms pass among them
    When the gateways that answer for their failure domains die
    And 8000 ms pass among them
    Then each of them knows that all others live
    And one of them answers for each failure domain

  Scenario: A gateway loses the one that it relies on for news of the store
    # The hub stands still. Its members must follow the store themselves long before a server that
    # leaves stops to serve, 2 s after its word.
    Given 3 failure domains of 3 gateways each that exchange digests
    And 2000 ms pass among them
    When the gateways that answer for their failure domains die
    And 900 ms pass among them
    Then none of them relies on a gateway that is dead

  Scenario: The hub says that it does not reach the store
    Given 3 failure domains of 3 gateways each that exchange digests
    And 2000 ms pass among them
    When the gateways that answer for their failure domains are cut off from the store
    And 300 ms pass among them
    Then none of them relies on a gateway that is cut off from the store

  Scenario: Gateways die and come back in any order
    Then after any deaths and returns all that live know each other again

  Scenario: News of the servers hide that the configuration stands still
    # The connection of a gateway's watch of the configuration goes silent without an end. News of
    # the backend servers go on coming from another gateway. Callers whose route was added seconds
    # ago are told that there is none.
    Given a gateway that hears of the servers every 100 ms and is behind in the configuration
    Then it fetches the configuration from another gateway within 500 ms

  # Versions follow each other four times a second, and a gateway reads only some of them. Taken for one
  # that is late it fetched each of the others from a peer, and followed the store itself for seconds:
  # more calls than if it had read them all.
  Scenario: A gateway waits for its turn to read the configuration
    Given a gateway that is behind in the configuration and reads it every 750 ms
    Then it does not fetch the configuration from another gateway before 1000 ms
    And it fetches the configuration from another gateway within 2000 ms
