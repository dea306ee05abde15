Feature: No bytes from outside break a gateway, and none change more than their own name

  Scenario: Bodies of any form are read
    # The store, engines and other gateways answer with bytes that are no JSON, cut off, or with
    # fields missing and of other types. A decoder that throws would end the process, or the loop that
    # follows the store.
    When 400 random texts and 600 damaged bodies are given to every decoder
    Then none of them throws

  Scenario: One item of a list or watch is damaged
    # A reader would miss the objects beside it, or believe itself ahead of all others.
    When one item of 600 random lists and watches is damaged
    Then all other items are read as they were, and no revision is above that of the answer

  Scenario: One entry is damaged
    # Requests would be kept from servers that have nothing to do with it, or sent to one whose entry
    # makes no sense.
    When one entry of 400 random fleets is damaged
    Then all other servers are known as they were
    And the server of the entry can be used only if all that is used of its entry makes sense

  Scenario: An entry is copied under another name
    # Both entries name one address, one replica and one place in it. A replica with one entry too many
    # would be taken for one that is not whole, and get no requests any more.
    Given a fleet with one open replica of 2 engines
    When an entry of each of its engines is copied under another name
    Then requests may still be sent to the replica's own head

  Scenario: An object whose value is missing tells when it changed
    # Another writer leaves an entry without a value. The gateway that follows takes its server out and
    # tells the others, for whom news of an old revision are none: they go on sending there.
    When a watch up to revision 90 brings an object of revision 80 without a value
    Then it is read without a value and with revision 80

  Scenario: A member of a replica claims a place that it does not have
    # Two engines answer for a replica of two, and one of them says that it is the eighth. The place of
    # the second is empty: the head accepts requests, and nothing moves.
    Given a fleet with one open replica of 2 engines
    When its second engine claims the place 7
    Then no request may be sent to the replica
