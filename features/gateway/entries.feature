Feature: Invalid objects in the store affect only themselves

  Scenario: Objects that can not be read stand among the backend servers
    # One unreadable object must not make the gateway reject the whole list.
    Given a site with 1 plain server and objects of every unreadable form among the entries
    When a gateway has started and a second server appears
    Then requests reach both servers
    And the gateway has logged "storeItemsDropped"

  Scenario: Objects that can not be read stand beside the configuration
    Given a site with 1 plain server and objects of every unreadable form beside the configuration
    And a gateway that is ready
    When the operator revokes the key in a newer version
    Then a caller is refused with 401 within 2000 ms

  Scenario: An entry names the address of another engine
    # A replica planned with the false entry would never form and would block its other members.
    Given a site with 4 engines and no groups
    And another writer's entry of an idle engine at the address of the first one
    And a gateway
    Then 2 groups are open in the end

  Scenario Outline: An entry of another writer names no backend server to use
    # Requests must not be sent to an address or server whose entry is invalid.
    Given a site with 2 plain servers and a ready gateway
    When another writer gives the first server <an entry>
    Then no request reaches the first server from the moment at which the gateway knows
    And requests reach both servers again once the first server has written its entry

    Examples:
      | an entry                        |
      | the state "paused"              |
      | the state 7                     |
      | no address                      |
      | an address without a port       |
      | an address with the port 123456 |
      | a zone of another type          |
      | no slots                        |
      | a start that is no whole number |
      | no start                        |
      | nothing                         |
      | a text                          |
