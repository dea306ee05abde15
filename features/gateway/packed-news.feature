Feature: News of many backend servers is small on the way to other gateways

  # Guards against a hub whose link and processor are busy with the same text for each gateway of its failure domain,
  # so that its digests come late and all others take it for silent.
  Scenario Outline: A hub passes on <count> changes of engines
    Given an update with <count> changes of engines
    Then its message is <form> and says the same

    Examples:
      | count | form                              |
      | 1     | as it is                          |
      | 760   | less than a fifth of what it says |

  # Guards against work that is done again for each receiver.
  Scenario: A hub passes an update on to all gateways of its failure domain
    Given an update with 760 changes of engines
    Then messages to 39 gateways share one packed form

  # Guards against a hub that stands still while it packs the same copy for each member that has fallen behind.
  Scenario: All gateways of a failure domain ask their hub for a copy of the fleet
    Given an update with 760 changes of engines
    Then copies for 39 gateways share one packed form, and each says the same

  # Guards against a gateway that stands still or runs out of memory over a short message that unfolds without end.
  Scenario: A packed message unfolds to more than any update has
    Given a packed message of 64 megabytes of blanks
    Then it is refused

  # Guards against packed bytes that pass unchecked.
  Scenario: A packed message holds no update
    Given a packed message of another shape
    Then it is refused
