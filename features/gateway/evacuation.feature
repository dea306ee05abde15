Feature: Gateways know which failure domains are evacuated

  # Guards against a state that goes back in time when news of the store, of peers and of a restored
  # store arrive in any order.
  Scenario: News of evacuations arrive in any order
    Then over random histories what is known is always the state of its revision

  # Guards against an evacuation that stays because its object had no revision that can be read.
  Scenario: An object without a revision is set and removed before the next answer
    When one answer of a watch up to revision 10 tells of "north" without a revision and of its removal at 9
    Then nothing is evacuated

  # Guards against objects with odd names that make the digests of all gateways invalid.
  Scenario: Names that no message may carry
    When the store holds evacuations of "north" and of a name of 300 characters
    Then only "north" is evacuated, and gateways tell each other
    When the store holds 1001 evacuations
    Then all of them count, and gateways do not tell each other

  # Guards against requests that reach an evacuated failure domain after the bound, whatever has failed.
  Scenario Outline: An evacuation in a fleet of 102 gateways while <failure>
    Given 102 gateways that follow evacuations of a store that answers after <delay> ms
    When <failure> and a failure domain is evacuated
    Then within 5000 ms each gateway that reaches the store knows of it

    Examples:
      | failure                            | delay |
      | nothing fails                      | 4     |
      | the hub of its domain is frozen    | 4     |
      | the hub of its domain is frozen    | 800   |
      | the hub of its domain is cut off   | 800   |
      | all hubs are frozen                | 4     |
      | no notice of a hub arrives         | 4     |

  # Guards against a fleet in which each gateway asks the store.
  Scenario: Evacuations are followed at rest
    Given 102 gateways that follow evacuations of a store that answers after 4 ms
    Then in 20000 ms at rest they call the store at most 30 times

  # Guards against requests for servers, or for replicas with members, that operators have evacuated.
  Scenario: Targets in evacuated failure domains
    Given a plain service with servers in "north,south"
    When "north" is evacuated
    Then its targets are in "south" and it is not evacuated as a whole
    When "north,south" is evacuated
    Then it has no targets and is evacuated as a whole
    When "elsewhere" is evacuated
    Then its targets are in "north,south" and it is not evacuated as a whole

  # Guards against a gateway that sends before the first answer tells it of evacuations.
  Scenario: Evacuations are not known yet
    Given a plain service with servers in "north,south"
    When evacuations are not known
    Then it has no targets and is not evacuated as a whole
    When evacuations are not followed
    Then its targets are in "north,south" and it is not evacuated as a whole

  # Guards against a gateway that is out of service for good because one kind of objects is not answered.
  Scenario: Neither the store nor a peer tells of evacuations
    Then a gateway that could serve otherwise waits 10000 ms for them and not longer
    And a gateway that could not serve otherwise waits on

  # Guards against full load on servers that may have become cold meanwhile.
  Scenario: Load returns after an evacuation
    Given "north,south" are evacuated at 0 ms
    And only "south" is evacuated at 1000 ms
    Then a server in "north" gets these shares of its load:
      | at   | share |
      | 1000 | 0.1   |
      | 3500 | 0.55  |
      | 6000 | 1     |
    And a server in "elsewhere" gets all of its load at 1000 ms
    And only "north,south" are evacuated at 2000 ms
    And only "south" is evacuated at 4000 ms
    And a server in "north" gets these shares of its load:
      | at   | share |
      | 4000 | 0.1   |

  # Guards against replicas of the other failure domains that are planned as if nothing were lost.
  Scenario: Capacity and demand of an evacuated failure domain
    Given 3 failure domains with 2 replicas of 4 requests each
    Then the load of the service is 24 requests at 6 replicas
    When "domain-0" is evacuated
    Then the load of the service is 24 requests at 4 replicas
