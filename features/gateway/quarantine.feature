Feature: A request that ends the servers which run it is kept from the others

  # Seen by callers: servers ended one after the other, each some 0.3 s after requests had been sent on
  # from the last, and every answer under way there broke off. One request ended each server that ran it;
  # its caller came back with new attempts at any gateway. Each attempt was a new request to each gateway,
  # and that a server had ended under it was forgotten with the attempt. Proved by the same load here:
  # 39 servers ended under one request before gateways knew it again, and counted its ends together.
  Scenario Outline: A request that ends each server comes again at every gateway, as <what>
    Given a site with 12 servers of <what> that end under one request, and 3 ready gateways
    When its caller sends it every 200 ms for 8000 ms, at one gateway after the other
    Then it reached servers at most 3 times later than 3000 ms after the third had ended under it
    And it is refused as not run, with a time to come back, at each gateway
    And another request of the caller is answered at each gateway

    Examples:
      | what    |
      | calls   |
      | streams |

  # A loss of power takes the memory of all gateways; the request would end as many servers again.
  Scenario: All gateways lose power after a request was found to end servers
    Given a site with 12 servers of calls that end under one request, and 3 ready gateways
    When its caller sends it every 200 ms for 3000 ms, at one gateway after the other
    And the store knows that it is in quarantine
    And all gateways are killed and start again
    Then it is refused as not run, with a time to come back, at each gateway

  # Many connections break although nothing has ended. Refused for that, a caller would be kept out by
  # a bad link.
  Scenario: A request whose answers are lost by servers that live is still sent
    Given a site with 2 servers of calls that end under one request, and 1 ready gateway
    But the servers lose their answers instead
    When its caller sends it every 100 ms for 1500 ms, at one gateway after the other
    Then the last of these sendings reached a server

  # Requests that were sent on together with the one that ends servers meet it again at the next.
  @quarantine-table
  Scenario: Those that were at the same servers are not held responsible
    Given a request "x" that ended the servers "a", "b" and "c"
    When the request "y" is told to have been at the ends of "a", "b" and "c" too
    Then only "x" is in quarantine

  @quarantine-table
  Scenario: The wrong request is found first
    The reports of one gateway come before those of another.
    Given a request "y" that was at the ends of the servers "a", "b" and "c"
    When the request "x" is told to have been at the ends of "a", "b" and "c" too
    And a server "d" ends under "x"
    Then "x" is in quarantine

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

  # Each gateway may be the next that gets the request; in a large fleet news travel over hubs.
  Scenario Outline: All gateways of a fleet of <domains> times <size> know in time
    Given <domains> failure domains of <size> gateways each that exchange digests
    And 9000 ms pass among them
    When three of them each report a server that ended under one request
    Then all know of the three ends 2500 ms later

    Examples:
      | domains | size |
      | 3       | 3    |
      | 3       | 21   |
      | 5       | 39   |
