Feature: An entry refuses completions with a message that crashes engines

  # Guards against one message in different completions that crashes one engine after the other.
  Scenario: Different completions with one message crash three engines
    Given an entry whose engines have ended under completions with "rules" and "poison":
      | engine-1 | engine-2 | engine-3 |
    Then a new completion with "rules" and "poison" is refused as quarantined
    And a completion with "rules" alone may be sent
    When its peer learns of it by its digest
    Then a new completion with "rules" and "poison" is refused as quarantined there too

  # Guards against blaming what is merely under way when engines end.
  Scenario: A message is answered between the ends
    Given an entry whose engines have ended under completions with "rules" and "poison":
      | engine-1 | engine-2 |
    When a completion with "rules" and "poison" is answered
    And an engine ends under a completion with "rules" and "poison"
    Then a completion with "rules" and "poison" may be sent

  # Guards against broken connections of living engines that count as ends.
  Scenario: Engines break off and live
    Given an entry whose engines broke off and lived under completions with "rules" and "poison":
      | engine-1 | engine-2 | engine-3 | engine-4 |
    Then a completion with "rules" and "poison" may be sent

  # Guards against a request path that doesn't ask the quarantine, or tells it nothing.
  Scenario: The request path asks and tells the quarantine
    Given an entry before two replicas and two service instances
    And all completions of both replicas break off after 0 tokens
    And each engine that breaks off counts as ended
    When a caller sends the messages "rules", "poison" and "one"
    Then the entry tells its peers that engines ended under "rules" and "poison"
    When a peer tells that "poison" is in quarantine
    And a caller sends the messages "rules", "poison" and "two"
    Then the refusal is 503 "quarantined" with the conclusion "notRun"
    And no engine was asked since
