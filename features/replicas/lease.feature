Feature: One owner of a fabric domain at a time

  Scenario: Two entries never have orders under way at the same time
    # Two owners that both order the same engines leave them half in one replica and half in another.
    # Entries' clocks run at different rates, writes are slow or their answers are lost, watches lag,
    # entries sleep past the end of their lease without noticing, or lose the platform and go on.
    When 300 random histories of 3 entries that compete for a domain are played
    Then no two entries ever had orders under way at the same time
    And orders were sent in all of them, and the domain changed hands in most

  Scenario: An owner may not send an order that could outlive its lease
    Given a lease of 6000 ms that was renewed by a write sent at 0 ms
    Then an order that takes 1000 ms may be sent at 4900 ms but not at 4950 ms

  Scenario: The lease counts from before the write, not from its answer
    # The answer to a renewal takes four seconds. Others have counted from the write's effect; an
    # owner that counted from the answer would go on ordering after they had taken over.
    Given an entry whose renewal was sent at 1000 ms and answered at 5000 ms
    Then it holds the domain until 6940 ms
