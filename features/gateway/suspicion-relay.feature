Feature: Suspicions are passed on to each gateway by one call at a time

  # Guards against a hub whose calls to busy members pile up until neither reads in time who has left.
  Scenario: Many suspicions come while a member does not answer
    Given a hub that relays suspicions to 2 members, of which one does not answer
    When it learns of 50 servers, one after the other
    Then the member that answers hears of all 50
    And the other one has got 1 call
    When the other one answers
    Then its second call tells of the other 49

  # Guards against a suspicion that lives on because it has waited on its way.
  Scenario: A suspicion is over before it can be passed on
    Given a hub that relays suspicions to 2 members, of which one does not answer
    When it learns of a server, of another one for 300 ms, and of a third one for 900 ms
    And the other one answers after 500 ms
    Then its second call tells of the third server alone, for 400 ms
