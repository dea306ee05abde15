Feature: A platform that answers watches early

  Scenario: Each watch is answered at once without news
    # Guards against a busy loop: a stale copy of the platform answers each watch immediately, and
    # the entry repeated it without a pause until it ran out of memory.
    Given a platform that answers every watch at once and without news
    When it is watched for 1000 ms
    Then it was asked at most 15 times
