Feature: Which links of a gateway count as lost, decided without a network

  # Guards against a service that is given up for one lost link, such as one of many over a poor line.
  Scenario: Single links are lost while others are sound
    Given the links of a gateway to 20 servers of a service
    When one link after the other is lost, with a sound new connection after each
    Then 20 links are lost and the service is not cut off

  # Guards against a gateway that tries all links of a service one by one, each for a request.
  Scenario: Two links are lost in a row
    Given the links of a gateway to 20 servers of a service
    When 2 links are lost in a row
    Then the links to all servers count as lost

  # Guards against a failed fabric domain that is taken for a lost link to the whole service.
  Scenario Outline: Servers answer nobody
    Given the links of a gateway to 20 servers of a service
    When <servers> servers answer nobody and the service was last heard <ms> ms ago
    Then the service is <state>

    Examples:
      | servers | ms   | state       |
      | 2       | 5000 | not cut off |
      | 8       | 100  | not cut off |
      | 3       | 600  | cut off     |

  # Guards against a pool of old connections that hides that new ones are refused.
  Scenario: Old connections live on while new ones are refused
    Given the links of a gateway to 20 servers of a service
    When 2 links are lost in a row while old connections bring data
    Then the links to all servers count as lost

  # Guards against a return that is noticed by the requests of callers, and against one that takes long.
  Scenario: A service is reached again
    Given the links of a gateway to 20 servers of a service
    When 6 links are lost in a row
    And a check of another server succeeds
    Then the service is not cut off
    And all lost links are checked at once, and again a second later
    And a link that a check finds sound is used again

  # Guards against lost links of servers that are gone.
  Scenario: The servers behind lost links are gone
    Given the links of a gateway to 20 servers of a service
    When 6 links are lost in a row
    And those servers are gone
    Then 0 links are lost and the service is not cut off

  # Guards against relays that are cut off as well, far away or known to fail while there are better ones.
  Scenario: A relay is chosen
    Given 9 gateways in 3 failure domains, of which 4 are cut off from the service
    Then 1000 choices fall on gateways that reach it, in the domains of the gateway or the server
    And a gateway that could not relay is chosen again only when no other one is left
    And no gateway is chosen when all are cut off

  # Guards against replicas that are closed because their owner has lost its link to a member.
  Scenario Outline: The connection for an order is refused
    Given an engine that refuses the connections of this gateway, and that other gateways <see>
    When an order is sent to it
    Then the outcome of the order is "<outcome>"

    Examples:
      | see       | outcome |
      | reach     | unknown |
      | miss also | gone    |
