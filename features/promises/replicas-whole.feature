Feature: No replica serves while a member is missing, and no instance is in two replicas

  Engines, entries and the platform run as processes of their own. Judges are the engines' journals,
  the platform's journal of plans, and what callers received.

  # A gate volunteer reads an answer as it is written; the machine beside the replica's leader dies.
  # What comes after that would be computed without its part of the model. The stream has to go on at
  # another replica from the exact place, or end in one explicit error.
  Scenario: A member is killed while streams run
    Given 2 entries that stream from 2 replicas of 3 with 1 engine to spare
    When a member that does not lead is killed
    Then the replica it was in serves nothing more after 1000 ms
    And 2 replicas are whole again without the killed member
    And every stream came whole or ended in one explicit error
    And no plan had an instance in two replicas
