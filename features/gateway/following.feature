Feature: The follower of the store survives failures

  Scenario: Taking what the store brought throws once
    # An exception while a list is processed must not end the loop that follows the store.
    Given a follower of a store that answers at once
    And processing the first list throws
    Then it has processed a list within 3000 ms

  Scenario: Reading the answers of the store throws
    # An exception while a body is read must end the call, not only its copy: the follower would wait for ever.
    Given a follower of a store the reading of whose first 3 answers throws, retrying every 200 ms
    Then it has processed a list within 3000 ms
    And it has reported 3 errors

  Scenario: Reading the answers to watches throws
    # Each failed watch must end its polls as well, or their number would grow with each.
    Given a follower of a store the reading of whose watches throws, retrying every 20 ms
    When it has followed for 2000 ms
    Then the store was called at most 100 times

  Scenario: The one that follows for all dies while the store is silent
    # A shorter retry interval must take effect at once, also for a call that is already in flight.
    Given a follower of a silent store that retries every 5000 ms
    When its retry interval becomes 50 ms
    Then the store is called 5 times within 1000 ms

  Scenario: The store answers every watch at once without news
    # Guards against a busy loop with a store that answers watches at once.
    Given a follower of a store that answers at once
    When it has followed for 1000 ms
    Then the store was called at most 15 times

  Scenario: A write is turned away, and reads are answered
    # A rate-limited write must not mark the store as unreachable.
    Given a gateway that reaches the store
    When 5 of its writes are rejected
    Then it still reaches the store, and missing entries count as gone at once

  # Guards against copies of a call whose large answer is still arriving: they fill the link, and none of
  # them is ever complete.
  Scenario: A large answer arrives slowly
    Given a follower of a store whose answers arrive in parts for 1500 ms, retrying every 300 ms
    When its calls from before now are aborted after 700 ms
    Then it has processed a list within 3000 ms
    And the store was called at most 2 times

  Scenario: A large answer stops arriving
    Given a follower of a store whose answers stop arriving, retrying every 100 ms
    Then the store is called 3 times within 1500 ms

  # Guards against a pause in which no change is heard, after a watch that the store has cut off.
  Scenario: A watch is cut off
    Given a follower whose watch waits, retrying after 5000 ms
    When its watch is cut off
    Then the store is called 4 times within 500 ms

  # Guards against an outage that is made up from one failed call, during which servers that left are kept.
  Scenario Outline: A <kind> fails, and the store answers again <later> ms later
    Given a gateway whose store has just answered
    When a <kind> of it fails and the store answers again <later> ms later
    Then entries that are missing then count as gone after <wait> ms

    Examples:
      | kind  | later | wait |
      | watch | 10    | 0    |
      | read  | 10    | 0    |
      | read  | 2300  | 0    |
      | read  | 2400  | 2200 |
      | read  | 9000  | 2200 |

  # Guards against the same at a gateway that has no path to the store, while another one hears of the servers.
  Scenario: Another gateway reaches the store
    Given a gateway whose store has just answered
    When a read of it fails, and 9000 ms later another gateway has an answer
    Then entries that are missing then count as gone after 0 ms

  # Guards against plans that are given up because one watch was cut off.
  Scenario: A watch that waits is no sign of an outage
    Given a gateway whose store has just answered
    When a watch of it fails and the store answers again 300 ms later
    Then the gateway has not counted the store as lost
