Feature: A request that crashes the servers which run it is quarantined

  Scenario Outline: A request that ends each server comes again at every gateway, as <what>
    # Guards against a request that crashes one server after the other as its caller retries everywhere.
    Given a site with 12 servers of <what> that end under one request, and 3 ready gateways
    When its caller sends it every 200 ms for 8000 ms, at one gateway after the other
    Then it reached servers at most 3 times later than 3000 ms after the third had ended under it
    And it is refused as not run, with a time to come back, at each gateway
    And another request of the caller is answered at each gateway

    Examples:
      | what    |
      | calls   |
      | streams |

  Scenario: All gateways lose power after a request was found to end servers
    # A quarantine must survive the restart of all gateways.
    Given a site with 12 servers of calls that end under one request, and 3 ready gateways
    When its caller sends it every 200 ms for 3000 ms, at one gateway after the other
    And the store knows that it is in quarantine
    And all gateways are killed and start again
    Then it is refused as not run, with a time to come back, at each gateway

  Scenario: A request whose answers are lost by servers that live is still sent
    # Broken connections alone must not put a request into quarantine.
    Given a site with 2 servers of calls that end under one request, and 1 ready gateway
    But the servers lose their answers instead
    When its caller sends it every 100 ms for 1500 ms, at one gateway after the other
    Then the last of these sendings reached a server

  @quarantine-table
  Scenario: Those that were at the same servers are not held responsible
    # Requests that were in flight at the same servers as the crashing one must not be quarantined.
    Given a request "x" that ended the servers "a", "b" and "c"
    When the request "y" is told to have been at the ends of "a", "b" and "c" too
    Then only "x" is in quarantine

  @quarantine-table
  Scenario: The wrong request is found first
    # The reports of one gateway arrive before those of another.
    Given a request "y" that was at the ends of the servers "a", "b" and "c"
    When the request "x" is told to have been at the ends of "a", "b" and "c" too
    And a server "d" ends under "x"
    Then "x" is in quarantine

  # Guards against a sound request that is held because reports of one crash arrive one by one.
  @quarantine-table
  Scenario: A request is reported before the part beside it that crashed the server
    Given the servers "a", "b" and "c" ended under a part "p", beside the request "x"
    When the request "x" is told to have been at the ends of "d" too
    Then only the part "p" is in quarantine

  # Guards against a sound request that stays held once the cause of its failures is known.
  @quarantine-table
  Scenario: A request is held before the part beside it is reported
    Given the servers "a", "b", "c" and "d" ended one after the other under a request "x"
    When requests with a part "p" are told to have been at the ends of "a", "b" and "c" too
    Then only the part "p" is in quarantine
    And another gateway that still tells of "x" is not followed

  # The same, where another gateway is the one that finds the part.
  @quarantine-table
  Scenario: Another gateway tells of the part beside a request that is held
    Given the servers "a", "b" and "c" ended one after the other under a request "x"
    When requests with a part "p" are told to have been at the ends of "a" and "b" too
    And another gateway tells that it holds the part "p"
    Then only the part "p" is in quarantine

  # Guards against a sound part that is held because a gateway has started after the answers to it.
  @quarantine-table
  Scenario: Another gateway holds a part that was answered here a moment ago
    Given a request with a part "r" that was answered
    When another gateway tells that it holds the part "r"
    Then nothing is in quarantine

  # Guards against a quarantine that hides all that are found after it.
  @quarantine-table
  Scenario: A second part crashes servers while a more specific one is held
    Given a request with a part "r" that was answered
    And the servers "a", "b" and "c" ended under a part "p" that comes with a part "r"
    When the servers "d", "e" and "f" end under a part "q"
    Then requests with "q" are in quarantine

  @quarantine-table
  Scenario: An answer clears a request, also at other gateways
    Given a request "x" that ended the servers "a" and "b"
    When it is answered, and a server "c" ends under it
    Then nothing is in quarantine
    And 100 more answers after the next tell the other gateways nothing more
    When the servers "d", "e" and "f" end under it
    Then "x" is in quarantine
    When another gateway tells that it was answered
    Then nothing is in quarantine, also where a third gateway still tells of it

  @quarantine-table
  Scenario: One end is told by several gateways
    When 5 gateways tell within 900 ms that the server "a" ended under "x"
    Then nothing is in quarantine
    When it ends under "x" again 5000 ms and 10000 ms later
    Then "x" is in quarantine

  @quarantine-table
  Scenario: A quarantine lapses, and one more end is enough for the next
    Given a request "x" that ended the servers "a", "b" and "c"
    When 600001 ms pass for the gateway
    Then nothing is in quarantine
    When the servers "d" end under it
    Then "x" is in quarantine

  @quarantine-table
  Scenario: What is remembered is bounded
    When 20000 requests are each at the end of one server, and "x" at three
    Then at most 5000 of them are remembered, "x" among them
    And a digest tells of at most 200 of them

  # Guards against a gateway that replaces quarantines by each other for ever once it holds the most it can.
  @quarantine-table
  Scenario: More requests end servers than a gateway can hold
    When 520 requests are each at the ends of three servers of their own
    Then 500 of them are in quarantine, the last one too

  Scenario Outline: All gateways of a fleet of <domains> times <size> know in time
    # Any gateway may get the request next; in large fleets reports travel over hubs.
    Given <domains> failure domains of <size> gateways each that exchange digests
    And 9000 ms pass among them
    When three of them each report a server that ended under one request
    Then all know of the three ends 2500 ms later

    Examples:
      | domains | size |
      | 3       | 3    |
      | 3       | 21   |
      | 5       | 39   |

  # Guards against a quarantine that no gateway stores, because a peer has completed it.
  Scenario: The report of another gateway is the third
    Given a gateway under whose request a server has ended
    When another gateway reports two more ends under it
    Then the request is in quarantine, and its gateway is to store that

  # The same, where a gateway that all reports have reached first is the one that tells of it.
  Scenario: Another gateway tells of the quarantine before its reports arrive
    Given a gateway under whose request a server has ended
    When another gateway tells of the quarantine
    Then the request is in quarantine, and its gateway is to store that

  # Guards against a write of each gateway of a large fleet for each quarantine.
  Scenario: A gateway without evidence of its own does not store a quarantine
    Given a gateway under whose request no server has ended
    When another gateway tells of the quarantine
    Then the request is in quarantine, and its gateway has nothing to store

  # Guards against a quarantine that is lost because all gateways stop as it begins, and against one that
  # is restored after it has ended.
  Scenario: A gateway that stops keeps its entry true
    Given a gateway that has been told to stop, under whose request a server has ended
    When another gateway reports two more ends under it
    Then its entry in the store names the request
    When an answer to the request arrives
    Then its entry in the store names no request

  # Guards against blaming requests for the end of a server that has closed their connections long before.
  Scenario: A server ends long after some of its responses
    Given a gateway to which a server has closed the connections of "a", "b" and "c" after their responses
    When 4000 ms pass, and the server ends under "d"
    Then the gateway reports the end for "d" alone

  # Guards against a gateway that no other one hears any more, because its digests exceed what they accept.
  Scenario: Another writer has left odd entries among those of the gateways
    Given entries of gateways with a huge fingerprint, a huge address, times beyond the calendar and another's name
    When a gateway registers and reads them
    Then it knows the sound gateway alone, and its digest is one that others accept
