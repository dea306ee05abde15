Feature: A platform that answers watches early

  Scenario: Each watch is answered at once without news
    # A copy of the platform that knows no more than the entry answers each watch at once. The entry
    # asked again as fast as it was answered and did nothing else, until it had no memory left.
    Given a platform that answers every watch at once and without news
    When it is watched for 1000 ms
    Then it was asked at most 15 times
