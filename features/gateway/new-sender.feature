Feature: A replica forms although its planner loses the domain

  # Guards against a gateway that takes over the orders to join, and waits for grants of loads that it was not given.
  Scenario: Another gateway takes over a replica whose joins need loads and were not sent
    Given a fabric domain of 2 engines without weights, and gateways A and B
    When A has stored a plan of a replica, and ends before it sends an order
    And B owns the domain for 3000 ms
    Then both engines were ordered by B to join the replica of A

  # Guards against a plan that is stored and not carried out, as its planner loses the domain meanwhile.
  Scenario: A gateway loses the domain while its plan is written
    Given a fabric domain of 2 engines without weights, and gateways A and B
    When A loses the domain while the store writes its plan of a replica
    Then both engines were ordered by A to join the replica of A
