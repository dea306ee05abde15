Feature: Following the store goes on whatever happens on the way

  Scenario: Taking what the store brought throws once
    # An object that no code expected makes the taking of a list throw. The gateway counts as one that
    # follows, for all of its failure domain, and never asks again.
    Given a follower of a store that answers at once
    And taking the first list throws
    Then it has taken a list within 3000 ms

  Scenario: The one that follows for all dies while the store is silent
    # Another gateway follows from then on, and has to ask as often as the one before, at once: its
    # question was sent when it asked only for itself, and had seldom to be repeated.
    Given a follower of a store that is silent, which asks again every 5000 ms
    When it is to ask again every 50 ms
    Then the store is asked 5 times within 1000 ms

  Scenario: The store answers every watch at once without news
    # A store that has dropped its history, or answers early, would be asked as fast as it answers.
    Given a follower of a store that answers at once
    When it has followed for 1000 ms
    Then the store was asked at most 15 times

  Scenario: A write is turned away, and reads are answered
    # A plan that can not be written, since all gateways together write too much, says nothing of
    # whether the store is reached. Taken for that it made all gateways ask more, and hold what vanishes.
    Given a gateway that reaches the store
    When 5 of its writes are turned away
    Then it still reaches the store, and what vanishes counts as gone at once
