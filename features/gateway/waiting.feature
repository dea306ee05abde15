Feature: Requests wait at the gateway for a target with room

  Scenario: Twice as much comes as can be served
    # Replicas are lost, or all gateways have started anew, and callers come back together. Served in
    # the order of arrival everybody waits for the whole queue, so that every answer is late after the
    # first second, also of those who come last; many callers leave before their turn.
    Given 60 requests a second for 10 s that are to begin within 300 ms, and 30 places a second
    When their first events take 150 ms from the sending on
    Then at least 80 in 100 of those that were sent in the order of the line begin in time
    And in the order of arrival at most 10 in 100 would

  Scenario: The order of the line
    # A request of a more urgent workspace waits behind others that came before it; and one that can
    # still be in time waits behind one that is late whatever happens.
    Given a line of these requests at 1000 ms
      | name       | rank | since | on time until |
      | late       | 1    | 400   | 700           |
      | later      | 1    | 500   | 800           |
      | older      | 1    | 900   | 1100          |
      | newest     | 1    | 950   | 1150          |
      | urgent     | 0    | 300   | 600           |
    Then their turns are "urgent, newest, older, late, later"

  Scenario: Who waits in vain is told at once
    # Far more wait than can be served before their callers leave. Each of them would wait for its whole
    # time and be told nothing; told at once, its caller comes back when there may be room.
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
    # All replicas of a model are full and their first events take half a second. One that takes a
    # second is left out as standing still, its requests go to the others, which are then left out in
    # their turn, until one is left for everybody.
    Given first events of a model that take 100 ms
    Then a replica is suspected after 700 ms
    When they take 500 ms
    Then a replica is suspected after 2000 ms

  Scenario: Gateways that start together reckon with each other
    # All gateways lose power and start together. Each knows only of its own requests, takes all places
    # for its own, and their callers come back at once: seven times as many are sent as there are places.
    Given a gateway that has just started and knows of 6 others
    Then it reckons with 6 gateways that it has not heard
    When it has heard 4 of them
    Then it reckons with 2 gateways that it has not heard
