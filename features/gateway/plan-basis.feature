Feature: Plans of replicas rest on what their planner knows

  # Guards against members of an open replica that are taken for free, without an order to leave, by a planner whose
  # view of the entries is from before they joined.
  Scenario Outline: A view that is older than the plan says that a member <sign>
    Given a formed replica of "a" and "b" in a plan that rests on revision 20
    And a view of revision 10 in which nobody reports a replica and "b" <sign>
    When it is planned 3 times
    Then the plan stays as it is, and nothing is ordered

    Examples:
      | sign                    |
      | is leaving              |
      | answers no probes       |
      | has no entry            |
      | is another incarnation  |

  # Guards against a planner that waits for a revision of the fleet which no later change brings.
  Scenario: A view of an older revision was confirmed after the plan was read
    Given a formed replica of "a" and "b" in a plan that rests on revision 20
    And a view of revision 10 in which nobody reports a replica and "b" has no entry
    And that view was confirmed after the plan was read
    When it is planned 3 times
    Then the replica is planned no more

  # Guards against a gateway that opens a replica which another one has dropped from the plan.
  Scenario: All members of a replica are ready before the plan says so
    Given an unformed replica of "a" and "b", of which all members are ready
    Then its head is not ordered to open
    When it is planned 1 time
    Then the plan says that it has formed, by revision 10, and its head is ordered to open

  # Guards against a member that has left an open replica and is put back, while the next plan wants it elsewhere.
  Scenario: A member of a formed replica reports it no longer
    Given a formed replica of "a" and "b" in a plan that rests on revision 10
    And a view of revision 11 in which only "a" reports the replica
    When it is planned 1 time
    Then the replica is closing, and nobody is ordered to join

  # Guards against an instance that is taken out of a replica which a later plan than the cached one has formed.
  Scenario: An instance reports a later epoch than the plan has assigned
    Given a formed replica of "a" and "b" in a plan that rests on revision 10
    Then an instance that reports epoch 6 shows that the plan is outdated, and one that reports epoch 5 does not

  # Guards against a member that a late order puts back into an open replica after it was seen to be free.
  Scenario Outline: A replica closes after an order to join it got no answer
    Given a formed replica of "a" and "b" in a plan that rests on revision 10
    And an order for "<late>" to join it may be late, its head <head>, and so has "b"
    When it is planned 2 times
    Then the replica is <kept>

    Examples:
      | late | head              | kept            |
      | b    | answers no probes | still planned   |
      | a    | has left          | still planned   |
      | b    | has left          | planned no more |

  # Guards against members that stay unused for good behind a head that never answers.
  Scenario: Orders to join can not be late any more
    Given a formed replica of "a" and "b" in a plan that rests on revision 10
    And an order for "b" to join it may be late, its head answers no probes, and so has "b"
    And the replica has been known for longer than orders are late
    When it is planned 2 times
    Then the replica is planned no more

  # Guards against two gateways that order members to join a replica, of which each knows its own orders alone.
  Scenario Outline: Another gateway sends the orders to join a replica, which has been forming for <time>
    Given an unformed replica of "a" and "b" that another gateway orders to join, for <time>
    When it is planned 1 time
    Then <what>

    Examples:
      | time      | what                                                                   |
      | some time | nobody is ordered to join                                              |
      | too long  | this gateway orders to join, and notes that former orders may be late |
