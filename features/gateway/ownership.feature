Feature: Each fabric domain has one gateway that plans its replicas

  Scenario: All gateways hear the store again at one moment
    # The store was away. On its return each gateway knows of all others only what they said before
    # it, that they don't reach the store, and takes every domain for its own. For some tenths of a
    # second all of them send the same orders and overwrite each other's plans.
    Given 3 failure domains of 3 gateways each that have just heard the store again
    When each takes the others to be still away
    Then each of 30 fabric domains has one owner

  Scenario: Some gateways stay cut off from the store
    # A domain whose owner does not reach the store would have nobody who replaces a lost member.
    Given 3 failure domains of 3 gateways each that have heard the store for 1000 ms
    When the first of each failure domain stays cut off
    Then each of 30 fabric domains has one owner
    And no owner is cut off from the store
