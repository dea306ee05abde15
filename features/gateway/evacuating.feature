Feature: Gateways send nothing to evacuated failure domains

  # Guards against requests for servers that operators are about to take away.
  Scenario: A failure domain is evacuated and returns
    Given a gateway that follows evacuations and plain servers in "north,south"
    When "north" is evacuated and the gateways know it
    Then 20 requests are answered in "south" only
    When the evacuation of "north" ends and the gateways know it
    Then "north" gets requests again

  # Guards against requests that wait in vain, or are refused without a reason that says why.
  Scenario: All failure domains are evacuated
    Given a gateway that follows evacuations and plain servers in "north,south"
    When "north" is evacuated and the gateways know it
    And "south" is evacuated and the gateways know it
    Then a request is refused as "evacuated" without having waited
    And explaining the request tells "evacuated" and shows "requestEnded"
    When the evacuation of "north" ends and the gateways know it
    Then 20 requests are answered in "north" only

  # Guards against evacuations that count only when their object can be decoded, or that stop more than
  # their failure domain.
  Scenario: Objects that hold nothing readable and names that are none
    Given a gateway that follows evacuations and plain servers in "north,south"
    When an object "north" that can not be decoded is put and the gateways know it
    And "nowhere" is evacuated and the gateways know it
    Then 20 requests are answered in "south" only

  # Guards against a gateway that forgets an evacuation, or its end, with the store.
  Scenario Outline: The store is <fault> while evacuations begin and end
    Given a gateway that follows evacuations and plain servers in "north,south"
    When "north" is evacuated and the gateways know it
    And the store is <fault> and the evacuation of "north" ends
    Then 20 requests are answered in "south" only
    When the store answers and the gateways know that "north" is not evacuated
    Then "north" gets requests again

    Examples:
      | fault  |
      | down   |
      | silent |

  # Guards against a state of before a restore that hides what the restored store holds.
  Scenario: The store is restored from an older copy
    Given a gateway that follows evacuations and plain servers in "north,south"
    When "north" is evacuated and the gateways know it
    And the store is copied
    And the evacuation of "north" ends and the gateways know it
    And the store is restored and the gateways know that "north" is evacuated
    Then 20 requests are answered in "south" only

  Scenario: The store loses an evacuation in a restore
    Given a gateway that follows evacuations and plain servers in "north,south"
    When the store is copied
    And "north" is evacuated and the gateways know it
    And the store is restored and the gateways know that "north" is not evacuated
    Then "north" gets requests again

  # Guards against a gateway that sends to all before it hears of evacuations.
  Scenario: A gateway starts while the store tells nothing of evacuations
    Given plain servers in "north,south" and a store that does not answer for evacuations
    And "north" has been evacuated
    When a gateway with a bound of 60000 ms starts and has the configuration and the servers
    Then it is not ready and a request to it does not run
    When the store answers for evacuations
    Then the gateway becomes ready
    And 20 requests are answered in "south" only

  # Guards against a gateway that never serves because one kind of objects is not answered.
  Scenario: A gateway starts and is never told of evacuations
    Given plain servers in "north,south" and a store that does not answer for evacuations
    When a gateway with a bound of 500 ms starts and has the configuration and the servers
    Then the gateway becomes ready
    And it has logged "evacuationsAssumed"

  # Guards against digests and notices that do not tell a gateway without the store.
  Scenario: A gateway starts while only another gateway knows of an evacuation
    Given a gateway that follows evacuations and plain servers in "north,south"
    When "north" is evacuated and the gateways know it
    And another gateway starts that only hears of the first
    Then the gateway becomes ready
    And 20 requests are answered in "south" only

  # Guards against orders that start work in an evacuated failure domain, and against the loss of
  # replicas that are to serve again afterwards.
  Scenario: Replicas lose members in an evacuated failure domain and in another one
    Given a gateway that follows evacuations and 4 engines each in "north,south" with open replicas
    When "north" is evacuated and the gateways know it
    And an engine in each failure domain restarts
    Then the replica in "south" is formed again and no engine in "north" got an order
    And an open replica remains in "north"
    When the evacuation of "north" ends and the gateways know it
    Then the engine that restarted in "north" gets orders again

  # Guards against a request that another gateway has relayed to an evacuated failure domain.
  Scenario: Another gateway has a request relayed there
    Given a gateway that follows evacuations and plain servers in "north,south"
    And another gateway that does not follow evacuations
    When "north" is evacuated and the gateways know it
    Then the first gateway refuses to relay to "north" and relays to "south"

  # Guards against changes that cross two hubs in exchanges only, which takes most of the bound.
  Scenario: Hubs tell each other at once
    Given a gateway that follows evacuations and plain servers in "north,south"
    And the hub of another failure domain
    When "north" is evacuated and the gateways know it
    Then the other hub is told of it apart from exchanges
    When the other hub tells apart from exchanges that "south" is evacuated
    Then the gateways know that "south" is evacuated

  # Guards against any effect on deployments that do not follow evacuations.
  Scenario: Evacuations are not followed
    Given a gateway that does not follow evacuations and plain servers in "north,south"
    And "north,south" have been evacuated
    Then both get requests
    And it has not called the store for evacuations, and its digests have none
