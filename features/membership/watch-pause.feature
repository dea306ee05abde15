Feature: Watching entries don't use up the platform's calls

  Scenario: A fleet of any size makes a bounded number of watch calls
    # Plans are renewed every other second, those of many fabric domains several times a second. Were
    # each change answered to each entry at once, hundreds of entries would make thousands of calls a
    # second; the platform refuses what is above its rate, and no entry gets its changes.
    When plans change all the time before fleets of 1 to 1000 entries
    Then the watch calls of none pass 800 a second, or 10 of each entry
