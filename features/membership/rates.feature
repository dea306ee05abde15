Feature: Entries keep within the platform's calls and their own bytes

  Scenario: A fleet of any size makes a bounded number of watch calls
    # Plans are renewed every other second, those of many fabric domains several times a second. Were
    # each change answered to each entry at once, hundreds of entries would make thousands of calls a
    # second; the platform refuses what is above its rate, and no entry gets its changes.
    When plans change all the time before fleets of 1 to 1000 entries
    Then the watch calls of none pass 800 a second, or 10 of each entry

  Scenario: News does not wait for the bytes that heartbeats have used up
    # A member dies. Its prober knows, and has just sent its heartbeats; the others send callers to
    # the dead replica until the prober's bytes suffice for a round again.
    Given rounds without news that took all the bytes they may
    When there is news
    Then a round goes to as many entries as ever
