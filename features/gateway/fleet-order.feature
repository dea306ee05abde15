Feature: A view of the entries shows all that its revision says

  # Guards against a slow answer of the store that puts entries back to before what a peer has told, at the peer's revision.
  Scenario: An answer of the store arrives after a peer's later copy
    Given a gateway that follows the store and knows the entry "i-1" of revision 100 in no group
    When it asks for changes, and before the answer a peer's copy shows "i-1" of revision 120 in group "d.5"
    And the answer shows "i-1" of revision 110 in no group
    Then the gateway knows "i-1" in group "d.5"

  # Guards against peers that ignore a change between two pages of a list, since the list had a later entry.
  Scenario: An entry changes between two pages of a list
    Given a gateway that lists "i-1" of revision 100 in no group and on a later page "i-2" of revision 120, as of 105
    And a peer that takes its updates
    When the answer shows "i-1" of revision 110 in group "d.5"
    Then the gateway knows "i-1" in group "d.5"
    And the peer knows "i-1" in group "d.5"
