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

  # Guards against an owner that can't give orders to its engines.
  Scenario: Gateways without links to the engines own no fabric domain
    Given 3 failure domains of 4 gateways each that have been connected to the store for 5000 ms
    When all but the last of the first failure domain, and the first of each other one, reach no engine
    Then each of 30 fabric domains has one owner
    And no owner lacks links to the engines
