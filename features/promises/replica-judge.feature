Feature: Judging what a woken engine begins

  # An engine that leads a replica is frozen, and requests wait in its socket. Entries give them up and
  # go on elsewhere. When it wakes it begins them before it sees that nobody listens, and may find that
  # its replica is gone before that. Such an attempt serves nobody; one that nobody had given up does.
  Scenario Outline: An attempt is begun by an engine that has just woken
    Given an attempt "a.1" that a woken engine began and ended as "<end>"
    And attempt "<other>" had begun elsewhere <elsewhere> it
    Then the attempt counts as <verdict>

    Examples:
      | end          | other | elsewhere | verdict       |
      | replicaLost  | a.2   | before    | given up      |
      | disconnected | b.1   | before    | given up      |
      | replicaLost  | a.2   | after     | not given up  |
      | replicaLost  | b.2   | before    | not given up  |
      | stop         | a.0   | before    | not given up  |
