Feature: No replica serves while a member is missing, and no instance is in two replicas

  Engines, entries and the platform run as processes of their own. Judges are the engines' journals,
  the platform's journal of plans, and what callers received.

  # A gate volunteer reads an answer as it is written; the machine beside the replica's leader dies.
  # What comes after that would be computed without its part of the model. The stream has to go on at
  # another replica from the exact place, or end in one explicit error.
  Scenario: A member is killed while streams run
    Given 2 entries that stream from 2 replicas of 3 with 1 engine to spare
    When a member that does not lead is killed
    Then 2 replicas are whole again without the killed member
    And the replica it was in served nothing more after 1000 ms
    And every stream came whole or ended in one explicit error
    And no plan had an instance in two replicas

  # The same, but the leader does not notice that it computes without one machine: it takes whatever it
  # is sent and writes on. Only the entries can keep callers away from it.
  Scenario: A member is killed and its leader does not notice
    Given 2 entries that stream from 2 replicas of 3 with 1 engine to spare
    And no engine notices that a member of its replica is gone
    When a member that does not lead is killed
    Then 2 replicas are whole again without the killed member
    And the replica it was in served nothing more after 1500 ms
    And every stream came whole or ended in one explicit error
    And no attempt began more than 1000 ms after a member had left its replica
    And no plan had an instance in two replicas

  # A machine stalls. Before its replica is missed, or long after, it wakes as if nothing had happened
  # and goes on where it was, while the others of its replica have long given it up.
  Scenario Outline: A member is frozen and wakes
    Given 2 entries that stream from 2 replicas of 3 with <spares> engines to spare
    When a member that <role> is frozen for <span> ms and wakes
    Then the replica it was in served nothing from 1000 ms after the freeze until the member woke
    And 2 replicas are whole again
    And every stream came whole or ended in one explicit error
    And no attempt began more than 1000 ms after a member had left its replica
    And no plan had an instance in two replicas

    Examples:
      | role          | span | spares |
      | does not lead | 600  | 0      |
      | does not lead | 4000 | 0      |

  # The machine that writes the answers stalls in the middle of them. Nothing breaks: the connection
  # stays open, and when the machine wakes it goes on with answers of a replica that is no more.
  Scenario: The leader is frozen while streams run, and wakes
    Given 2 entries that stream from 2 replicas of 3 with 1 engine to spare
    When a member that leads is frozen for 4000 ms and wakes
    Then no stream stood still for more than 2000 ms
    And 2 replicas are whole again
    And every stream came whole or ended in one explicit error
    And no attempt began more than 1000 ms after a member had left its replica
    And no plan had an instance in two replicas

  # A machine restarts within a second, at the same address and under the same name. It answers every
  # probe, but what it held of the model is gone.
  Scenario: A member is replaced by a new process at the same address
    Given 2 entries that stream from 2 replicas of 3 with 0 engines to spare
    When a member that does not lead is killed and another process starts in its place
    Then 2 replicas are whole again
    And the new process serves only under a later fencing number than the old one
    And every stream came whole or ended in one explicit error
    And no attempt began more than 1000 ms after a member had left its replica
    And no plan had an instance in two replicas

  # The owner of the domain stands still between the storing of its plan and its orders. Another entry
  # takes the domain over and goes on. Then the first wakes, and an order that the network had kept
  # reaches an engine. An engine that ignores numbers obeys it and tears the new replica apart.
  Scenario Outline: The owner is frozen between its plan and its orders
    Given 2 entries that stream from 1 replica of 3, with engines whose fencing is "<fencing>"
    When the owner is frozen as soon as its plan for new weights is stored
    And the other entry takes over and the replica with the new weights is whole
    And the frozen owner wakes
    And an old order to form the former replica reaches a member late
    Then that order was "<outcome>" and no other old order was obeyed
    And 1 replica is whole again
    And every stream came whole or ended in one explicit error
    And no attempt began more than 1000 ms after a member had left its replica
    And no plan had an instance in two replicas

    Examples:
      | fencing | outcome     |
      | checked | refused     |
      | ignored | staleObeyed |

  # The owner is cut off from the platform and does not know it yet. Its lease lapses, another entry
  # takes over and plans; then the link heals and both believe that the domain is theirs.
  Scenario Outline: Two entries hold the domain for their own
    Given 2 entries that stream from 1 replica of 3, with engines whose fencing is "<fencing>"
    When the owner is cut off from the platform
    And another entry takes over and is told of new weights
    And the link heals
    Then 1 replica with the new weights is whole
    And no old order was obeyed
    And every stream came whole or ended in one explicit error
    And no attempt began more than 1000 ms after a member had left its replica
    And no plan had an instance in two replicas

    Examples:
      | fencing |
      | checked |
      | ignored |

  # The platform stores a plan and its answer never comes. An owner that wrote again would form the
  # replica twice, of instances that the first plan already holds.
  Scenario: The answers to updates of the plan are lost
    Given 2 entries that stream from 2 replicas of 3 with 1 engine to spare
    When the platform loses the answers to its next 4 writes and a member is killed
    Then 2 replicas are whole again without the killed member
    And only one replica was formed in place of the broken one
    And every stream came whole or ended in one explicit error
    And no attempt began more than 1000 ms after a member had left its replica
    And no plan had an instance in two replicas

  # A switch fails and all machines behind it go dark at once. While they are, the platform goes down
  # too. When the machines are back, the same members can form the same replica under the same plan;
  # but only where engines refuse old numbers can nobody else have ordered them elsewhere meanwhile.
  Scenario Outline: A whole fabric domain goes dark and comes back while the platform is down
    Given 2 entries that stream from 2 domains of 3 engines, whose fencing is "<fencing>"
    When all engines of a domain go dark
    And the platform goes down until the lease of the domain's owner has lapsed
    And the domain is back
    Then its replica serves again under the same number <when> the platform is back
    And every stream came whole or ended in one explicit error
    And no attempt began more than 1000 ms after a member had left its replica
    And no plan had an instance in two replicas

    Examples:
      | fencing | when   |
      | checked | before |
      | ignored | after  |

  # Two models want the same machines while one of them dies and returns. A machine that both were
  # given would answer for one model with the state of the other.
  Scenario: Two models compete for the instances
    Given 2 entries that stream from 2 replicas of 3 with 0 engines to spare
    When a second model wants 2 replicas of 3
    And a member that does not lead is killed and another process starts in its place
    Then 2 replicas are whole again
    And every stream came whole or ended in one explicit error
    And no attempt began more than 1000 ms after a member had left its replica
    And no plan had an instance in two replicas
