Feature: Entries limit their calls to the platform and their gossip traffic

  Scenario: A fleet of any size makes a bounded number of watch calls
    # Guards against a large fleet exceeding the platform's rate limit with one watch call per
    # change and entry, after which no entry would receive changes.
    When plans change continuously in fleets of 1 to 1000 entries
    Then no fleet makes more than 800 watch calls a second, or 10 per entry

  Scenario: News does not wait for the bytes that heartbeats have used up
    # Guards against heartbeats exhausting the byte budget and delaying a digest that reports a
    # failure, while other entries keep sending requests to the failed replica.
    Given rounds without updates that spent all bytes available to them
    When there is an update
    Then a round has the full fan-out
