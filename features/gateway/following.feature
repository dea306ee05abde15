Feature: The follower of the store survives failures

  Scenario: Taking what the store brought throws once
    # An exception while a list is processed must not end the loop that follows the store.
    Given a follower of a store that answers at once
    And processing the first list throws
    Then it has processed a list within 3000 ms

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
