Feature: Invalid input doesn't break a gateway or affect other objects

  Scenario: Bodies of any form are read
    # A decoder that throws on invalid input would end the process or the loop that follows the store.
    When 400 random texts and 600 damaged bodies are given to every decoder
    Then none of them throws

  Scenario: One item of a list or watch is damaged
    # An invalid item must not affect the other items or raise the revision.
    When one item of 600 random lists and watches is damaged
    Then all other items are read as they were, and no revision is above that of the answer

  Scenario: One entry is damaged
    # An invalid entry must not affect other servers, and its own server must not be used.
    When one entry of 400 random fleets is damaged
    Then all other servers are known as they were
    And the server of the entry can be used only if its entry is valid

  Scenario: What is decoded of an entry is good for all that it flows into
    # A value that throws where it is used, or that other gateways reject, would end requests, planning or
    # the relay of changes for all servers.
    When one entry of 1500 fleets has a value at the limit of its type
    Then each decoded one can be called, planned, relayed and named in a path

  Scenario: The name of an object is no valid text
    # A list goes on after the last name; the path of that call can't be made of half a character.
    When a list ends with an object whose name is half a character
    Then the call for the rest of the list goes on after the object before it

  Scenario: An entry is copied under another name
    # Duplicate entries of one engine must not make its replica look incomplete.
    Given a fleet with one open replica of 2 engines
    When an entry of each of its engines is copied under another name
    Then requests may still be sent to the replica's own head

  Scenario: An object whose value is missing tells when it changed
    # The object must keep its revision; peers would discard the update as old without it.
    When a watch up to revision 90 brings an object of revision 80 without a value
    Then it is read without a value and with revision 80

  Scenario: A member of a replica claims a place that it does not have
    # A replica without an engine at each of its ranks is incomplete and could not run a request.
    Given a fleet with one open replica of 2 engines
    When its second engine claims the rank 7
    Then no request may be sent to the replica

  # Guards against a limit that a malformed header ends or invents.
  Scenario Outline: A server names its limit as <headers>
    When an answer carries the limits "<headers>"
    Then it is read as <meaning>

    Examples:
      | headers  | meaning             |
      | 1.2      | 1.2 a second        |
      | 0        | 0 a second          |
      | 3;1.5    | 1.5 a second        |
      | 2;nan    | 2 a second          |
      | nan;2    | 2 a second          |
      | nan      | unreadable          |
      | -1       | unreadable          |
      | 1e9      | unreadable          |
      | Infinity | unreadable          |
      | 1, 2     | unreadable          |
