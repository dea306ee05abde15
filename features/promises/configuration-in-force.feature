Feature: Accepted configuration is in force everywhere and stays so

  A workspace's key is what shows which configuration an entry goes by: it lets in whoever has the
  key in force, and nobody else.

  # Two operators change the workspace at the same moment through two entries, from the same version.
  # One must hear that it lost and to which version; the other's change must hold at every entry.
  Scenario: Two operators race through two entries
    Given 3 entries that all go by the workspace's first key
    When two operators change the key through two entries at once
    Then one change was taken and the other operator was told which version won
    And every entry goes by the winner's key once it is accepted

  # The platform fails over to a copy that lacks the newest change, and an entry starts that knows
  # only this copy. No entry may let the replaced key in again.
  Scenario: The platform answers from an old copy
    Given 3 entries that all go by the workspace's first key
    When an operator changes the key while the platform answers from its copy of before
    Then every entry goes by the new key, though the change is pending
    When another entry starts
    Then no entry goes by the first key again until a later change is in force

  # The platform takes a change, tells one entry of it and goes away, before the others have asked.
  # An entry that starts during the outage has nobody but the other entries to ask.
  Scenario: An outage follows the change at once
    Given 3 entries that all go by the workspace's first key
    When an operator changes the key and the platform goes away when it has told one entry
    Then every entry goes by the new key once it is accepted
    When another entry starts
    Then no entry goes by the first key again until a later change is in force

  # The platform goes away before it has told anybody. Only the entry that wrote knows the change, and
  # nobody can know whether another one came before it: the operator must not be told "accepted".
  Scenario: An outage before any entry was told of the change
    Given 3 entries that all go by the workspace's first key
    When an operator changes the key and the platform goes away before it has told anybody
    Then every entry goes by the new key, though the change is pending
    When another entry starts
    Then no entry goes by the first key again until a later change is in force

  # Entries can't reach each other, and one of them can't reach the platform either. The operator must
  # not be told that the change holds while this one still lets the old key in.
  Scenario: The entries are cut off from each other
    Given 3 entries behind links that can be cut, which all go by the workspace's first key
    When the entries are cut off from each other, and the last one from the platform
    And an operator changes the key
    Then the change is pending and the last entry is named, while it goes by the first key
    When the entries reach each other again
    Then every entry goes by the new key once it is accepted

  # One entry stands still while the operator makes three changes. It wakes with the oldest of them.
  Scenario: An entry is frozen through three changes
    Given 3 entries that all go by the workspace's first key
    When the last entry is frozen and an operator changes the key 3 times
    Then the change is pending and the last entry is named
    When the frozen entry wakes and goes on
    Then every entry goes by the new key once it is accepted

  # A slip of the pen must not reach the platform, and the operator must learn what is wrong.
  Scenario: An invalid change
    Given 3 entries that all go by the workspace's first key
    When an operator writes a key that is no hash
    Then the change is refused with the faulty field, and the platform has taken no write
