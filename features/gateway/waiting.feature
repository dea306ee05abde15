Feature: Requests queue at the gateway for a free slot at a target

  Scenario: Twice as much comes as can be served
    # Guards against an overload in which serving in order of arrival makes every response late.
    Given 60 requests a second for 10 s that are to begin within 300 ms, and 30 places a second
    When their first events take 150 ms from the sending on
    Then at least 80 in 100 of those that were sent in the order of the line begin in time
    And in the order of arrival at most 10 in 100 would

  Scenario: The order of the line
    # More urgent workspaces come first, then requests that can still be in time, then late ones.
    Given a line of these requests at 1000 ms
      | name       | rank | since | on time until |
      | late       | 1    | 400   | 700           |
      | later      | 1    | 500   | 800           |
      | older      | 1    | 900   | 1100          |
      | newest     | 1    | 950   | 1150          |
      | urgent     | 0    | 300   | 600           |
    Then their turns are "urgent, newest, older, late, later"

  Scenario: Who waits in vain is told at once
    # Requests that can't be served before their callers disconnect are rejected early.
    Given a line of 40 requests at 1000 ms that are worth an answer until 3000 ms
    Then none is refused while the line is younger than 1000 ms
    And 19 are refused after 1000 ms in which 5 were sent, which leaves one at once and twice their pace
    And all are refused at 3000 ms

  Scenario Outline: A target has room for its places and a tenth more
    Given a target with 18 places and <in flight> requests under way
    Then it has <room>

    Examples:
      | in flight | room    |
      | 0         | room    |
      | 19        | room    |
      | 20        | no room |
      | 500       | no room |

  Scenario: A full replica is not taken for one that stands still
    # Guards against suspecting replicas that are slow because they are full, which overloads the others.
    Given first events of a model that take 100 ms
    Then a replica is suspected after 700 ms
    When they take 500 ms
    Then a replica is suspected after 2000 ms

  Scenario: Gateways that start together reckon with each other
    # Guards against gateways that restart together and each claim all slots of the replicas.
    Given a gateway that has just started and knows of 6 others
    Then it reckons with 6 gateways that it has not heard
    When it has heard 4 of them
    Then it reckons with 2 gateways that it has not heard
