Feature: Each fabric domain has one gateway that plans its replicas

  Scenario: All gateways hear the store again at one moment
    # Right after a store outage, every gateway still sees the others as disconnected. Guards against
    # each of them owning all domains and overwriting the plans of the others.
    Given 3 failure domains of 3 gateways each that have just reconnected to the store
    When each gateway still considers the others disconnected
    Then each of 30 fabric domains has one owner

  Scenario: Some gateways stay cut off from the store
    # Guards against a domain whose owner can't replace a lost member without the store.
    Given 3 failure domains of 3 gateways each that have been connected to the store for 1000 ms
    When the first of each failure domain stays disconnected
    Then each of 30 fabric domains has one owner
    And no owner is disconnected from the store
