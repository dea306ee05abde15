Feature: The plan of a fabric domain

  Scenario: No instance is in two replicas, whatever fails and in whatever order
    # Guards against two replicas that share an instance and corrupt each other's state, while engines
    # fail in any order and obey late orders of a previous owner.
    When 60 random histories of losses and late orders run against the planner
    Then no plan had an instance in two replicas and no engine was ordered out of a replica that served
    And once the losses end, all that can be formed serves and the plan stays unchanged

  Scenario: A lost member is replaced by a free instance
    Given a planned domain of 10 engines with 2 replicas of "pass" with four members each
    When one member of a replica is killed and stays away
    Then a new replica serves in place of the lost one with a free instance

  Scenario: A paused member that wakes soon keeps its replica
    # Guards against reloading a replica because of a short pause.
    Given a planned domain of 10 engines with 2 replicas of "pass" with four members each
    When one member of a replica is paused and wakes after 2 seconds
    Then the same replicas serve with the same fencing tokens

  Scenario: A member that returns as if nothing had happened is not counted
    Given a planned domain of 8 engines with 2 replicas of "pass" with four members each
    When one member of a replica is killed and restarts before its loss is detected
    Then its replica is formed anew with a higher fencing token

  Scenario: The more important model gets the members of the less important one
    Given a planned domain of 8 engines with 1 replica of "gate" and 1 of "pass" with four members each
    And the objective prioritizes group downtime
    When one member of the replica of "gate" is killed and stays away
    Then "gate" serves again with members of the replica of "pass"

  Scenario: An idle accelerator weighs more than a waiting replica where the objective says so
    Given a planned domain of 8 engines with 1 replica of "gate" and 1 of "pass" with four members each
    And the objective prioritizes stranded accelerators
    When one member of the replica of "gate" is killed and stays away
    Then the replica of "pass" keeps serving

  Scenario: A leaving member's replica drains before it is released
    # Guards against a release that interrupts requests of an entry that has not seen the plan yet.
    Given a planned domain of 10 engines with 1 replica of "pass" with four members each
    When the leader of the replica is told to leave with 3 requests in flight
    Then its replica drains, and is released only when engine and every entry report none

  Scenario: A domain that nobody hears keeps its plan
    Given a planned domain of 8 engines with 2 replicas of "pass" with four members each
    When all engines stop responding for an hour and resume
    Then the same replicas serve with the same fencing tokens

  Scenario: A plan that changes nothing is not written again
    Given a planned domain of 10 engines with 2 replicas of "pass" with four members each
    Then 100 further planning rounds change nothing

  Scenario: Domains that plan alone agree on their shares
    When the demand for 13 replicas is split over 5 domains by owners that list them in any order
    Then all owners have the same shares, and together they make 13
