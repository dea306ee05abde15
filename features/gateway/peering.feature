Feature: Gateways know each other at a cost that does not grow with their number

  Scenario: A fleet of sixty-four finds itself
    # Exchanging digests pairwise in a large fleet would overload the smallest instances.
    Given 4 failure domains of 16 gateways each that exchange digests
    When 4000 ms pass among them
    Then each gateway considers all others alive
    And each gateway knows the load of all others
    And each failure domain has one hub
    And over 10000 ms no gateway has more than 40 exchanges per second, and the average is at most 5

  # Guards against gateways that send to a stalled server until their next exchange with the hub.
  Scenario: A stalled server is told to sixty-four gateways at once
    Given 4 failure domains of 16 gateways each that exchange digests
    And 4000 ms pass among them
    When a hub learns of a stalled server
    Then each gateway hears of it over at most 2 relays, and once from each hub at most

  Scenario: A few gateways exchange with all
    Given 3 failure domains of 3 gateways each that exchange digests
    When 2000 ms pass among them
    Then each gateway considers all others alive
    And each gateway knows the load of all others

  Scenario: All hubs crash at once
    # The members must fail over to the same new hubs and stop counting the crashed ones as alive.
    Given 4 failure domains of 16 gateways each that exchange digests
    And 4000 ms pass among them
    When all hubs crash
    And 8000 ms pass among them
    Then each gateway considers all others alive
    And each failure domain has one hub

  # Guards against no news of gateways being taken for their absence: a hub that has just taken over has heard of few,
  # and its members would own all fabric domains at once.
  Scenario: A hub that has heard of two members sends its first summary
    Given a gateway that a hub has told of 30 members
    When another hub tells it of 2 members 700 ms later
    Then it considers 30 members alive

  # Guards against a gateway that loses its hub and takes over the duties of all others.
  Scenario: No news of the members comes, and then news of one that is gone
    Given a gateway that a hub has told of 30 members
    When no news comes for 8000 ms
    Then it leaves duties to 30 others
    When another hub tells it that "member-7" is gone
    Then it leaves duties to 29 others

  Scenario: A gateway loses the one that it relies on for news of the store
    # Members must follow the store themselves well before a leaving server stops serving, which it
    # does 2 s after its announcement.
    Given 3 failure domains of 3 gateways each that exchange digests
    And 2000 ms pass among them
    When all hubs crash
    And 900 ms pass among them
    Then no gateway relies on a crashed hub

  Scenario: The hub says that it does not reach the store
    Given 3 failure domains of 3 gateways each that exchange digests
    And 2000 ms pass among them
    When all hubs lose their connection to the store
    And 300 ms pass among them
    Then no gateway relies on a hub that is disconnected from the store

  Scenario: Gateways die and come back in any order
    Then after random crashes and restarts all running gateways know each other again

  Scenario: News of the servers hide that the configuration stands still
    # Guards against a hanging watch of the configuration that goes unnoticed because fleet updates
    # still arrive.
    Given a gateway that receives fleet updates every 100 ms and has an outdated configuration
    Then it fetches the configuration from another gateway within 500 ms

  # Guards against a gateway that skips versions on purpose, between its scheduled reads, being
  # treated as late.
  Scenario: A gateway waits for its turn to read the configuration
    Given a gateway that has an outdated configuration and reads it every 750 ms
    Then it does not fetch the configuration from another gateway before 1000 ms
    And it fetches the configuration from another gateway within 2000 ms
