Feature: An engine never joins a group while the head of the one that it is in is open

  # Guards against an owner that drops a group by a view older than the plan and orders its members into the next one.
  Scenario Outline: Two gateways own a domain in any order, and <member>
    Given 4 engines for groups of 3, and gateways A and B of which B learns nothing by itself
    When these steps happen in each possible order, and <member>:
      | A owns the domain       |
      | A owns it no more       |
      | B owns the domain       |
      | B sees the newest state |
    Then no engine was in two groups and no group was partial
    And a group is open at the end of each

    Examples:
      | member                                       |
      | a member does not answer B                   |
      | a member's entry is not readable for a while |
      | an engine starts                             |
      | a member restarts                            |

  # Guards against an order under way, or sent by another owner, that puts a member back into a group after it left.
  Scenario: Orders to join arrive again at any time
    Given 5 engines for groups of 3, and gateways A and B
    When A has owned it, and in each possible order, as copies of the orders to join arrive at each time:
      | A owns it no more          |
      | B owns the domain          |
      | the head does not answer B |
    Then no engine was in two groups and no group was partial
    And a group is open at the end of each

  # Guards against an owner whose view stands still, and that puts members back into a group that another one has closed.
  Scenario: The view of one of two owners stands still
    Given 5 engines for groups of 3, and gateways A and B
    When both own it, what B knows stands still, and at each time the head does not answer A
    Then no engine was in two groups and no group was partial

  # Guards against late orders of one owner that another, whose own orders were answered, does not expect.
  Scenario: Another owner's orders to join are late
    Given 5 engines for groups of 3, and gateways A and B
    When B owns it for a moment beside A, and copies of its orders to join arrive at each time as the head does not answer A
    Then no engine was in two groups and no group was partial

  # Guards against a wait after a restore that ends before this gateway has read the entries that engines write again.
  Scenario: A gateway starts as the store returns from an older copy
    Given 5 engines for groups of 3, and gateways A and B
    When the store returns without the plan, and B starts, owns the domain and learns of entries at each age up to 3 s
    Then no engine was in two groups and no group was partial
    And a group is open at the end of each

  # Guards against owners that act on what no longer holds: old entries, plans of other owners, orders under way.
  Scenario Outline: For a while <trouble>
    Given 3 gateways that own a domain of 11 engines
    When for 40 s, with each of 12 seeds, <trouble>
    Then no engine was in two groups and no group was partial
    And 2 groups are open at the end of each

    Examples:
      | trouble                              |
      | members leave, but all else is calm  |
      | gateways return with old views       |
      | several gateways own the domain      |
      | orders are late, lost and doubled    |
      | engines crash and restart            |
      | the store returns from an older copy |
      | all of this happens                  |
