Feature: One owner of a fabric domain at a time

  Scenario: Two entries never have orders under way at the same time
    # Guards against two active owners under clock drift, slow writes, lost responses, late watches,
    # suspended processes and partitions from the platform.
    When 300 random histories of 3 entries that compete for a domain are played
    Then no two entries ever had orders under way at the same time
    And orders were sent in all of them, and the domain changed hands in most

  Scenario: An owner may not send an order that could outlive its lease
    Given a lease of 6000 ms that was renewed by a write sent at 0 ms
    Then an order that takes 1000 ms may be sent at 4900 ms but not at 4950 ms

  Scenario: The lease counts from before the write, not from its answer
    # Guards against an owner that counts from a late response and sends orders after a takeover.
    Given an entry whose renewal was sent at 1000 ms and answered at 5000 ms
    Then it holds the domain until 6940 ms
