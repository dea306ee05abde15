Feature: Gateways that follow the store for others restart

  # Guards against a removal that nobody notices: it leaves no entry, so a follower that starts after it can't
  # tell it from the list alone, and the others go on sending to the server until it exits.
  Scenario Outline: An entry is removed while all followers restart: <removed>
    Given 2 failure domains of 2 gateways each, which know 4 servers
    When the followers restart, and meanwhile <removed>
    Then within 2500 ms every gateway knows the servers that the store has
    And 600 ms later as well
    And no gateway's fleet has gone back to an older revision

    Examples:
      | removed                                            |
      | an older entry is removed                          |
      | the newest entry is removed                        |
      | an older entry is removed and another one changes  |
      | an older entry is removed, and one just after that |
      | all entries are removed                            |

  # Guards against followers whose start makes all others fetch what they already know.
  Scenario Outline: All followers restart, and nothing differs: <before>
    Given 2 failure domains of 2 gateways each, which know 4 servers
    And <before>
    When the followers restart, and meanwhile nothing happens
    Then for 2500 ms no other gateway asks a peer for a copy or the store for a list

    Examples:
      | before                                        |
      | nothing has happened since                    |
      | an entry was removed before that              |
      | an entry that can not be read was added       |
      | a known entry was overwritten by another writer |

  # Guards against a revision that claims more than the list has: a later page of a list may show an entry that
  # is newer than a change that an earlier page lacks.
  Scenario: An entry of the first page changes while the second page is read
    Given a gateway that is about to list 4 servers
    When entries of both pages change between the two pages, and the watch is late
    Then its revision is that of the first page
    When the watch is answered
    Then its revision is that of the last change

  # Guards against a first list that is relayed as changes since ever: it names no removal, and the later revision
  # of another change hides that from the gateway that gets it.
  Scenario: A follower's first list reaches a gateway that knows an entry that has gone since
    Given a gateway that has listed 4 servers
    When an entry is removed, another one changes, and a second gateway relays its first list
    Then both know the servers that the store has

  # Guards against changes that a gateway takes although it has missed one before them, in whatever way.
  Scenario: A relayed change reaches a gateway that has missed a removal
    Given a gateway that has listed 4 servers
    When an entry is removed, a second gateway lists the others, and relays the next change
    Then the first has not taken the change

  # Guards against a copy of a member that brings back a server which a newer list no longer has.
  Scenario: A copy is older than the own list
    Given a gateway that has listed 4 servers
    When the newest entry is removed, and a second gateway lists the others and gets a copy of the first
    Then the second knows the servers that the store has

  # Guards against a gateway without servers beside others that know them: the entries that a restore has lost are
  # about to be written again.
  Scenario: The own list is of a store that lost all entries in a restore
    Given a gateway that has listed 4 servers
    When the store is restored from an empty copy, and a second gateway lists it and gets a copy of the first
    Then the second knows 4 servers, and tells nobody that its list has them

  # Guards against a proof that is taken over from a gateway with other servers at the same revision.
  Scenario Outline: A gateway that lists after a removal proves nothing to one that has missed it: <removed>
    Given a gateway that has listed 4 servers
    When <removed> is removed, and a second gateway lists the others and tells the first how fresh they are
    Then the first does not count as fresh from then on

    Examples:
      | removed          |
      | an older entry   |
      | the newest entry |
