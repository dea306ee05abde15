Feature: The plan of a fabric domain

  Scenario: No instance is in two replicas, whatever fails and in whatever order
    # Two groups that share a machine would overwrite each other's state and answer with garbage.
    # Engines die, restart, pause and wake in any order, some obey late orders of a former owner, and
    # the planner goes on all the while.
    When 60 random histories of losses and late orders run against the planner
    Then no plan had an instance in two replicas and no engine was ordered out of a replica that served
    And once the losses end, all that can be formed serves and the plan stands still

  Scenario: A lost member is replaced by a free instance
    Given a planned domain of 10 engines with 2 replicas of "pass" in fours
    When one member of a replica is killed and stays away
    Then a new replica serves in place of the lost one with a free instance

  Scenario: A paused member that wakes soon keeps its replica
    # A machine stalls for two seconds. Taking its replica apart would cost a minute of loading.
    Given a planned domain of 10 engines with 2 replicas of "pass" in fours
    When one member of a replica is paused and wakes after 2 seconds
    Then the same replicas serve under the same numbers

  Scenario: A member that returns as if nothing had happened is not counted
    Given a planned domain of 8 engines with 2 replicas of "pass" in fours
    When one member of a replica is killed and is back before it is missed
    Then its replica is formed anew under a higher number

  Scenario: The more important model gets the members of the less important one
    Given a planned domain of 8 engines with 1 replica of "gate" and 1 of "pass" in fours
    And group downtime is what the objective weighs
    When one member of the replica of "gate" is killed and stays away
    Then "gate" serves again with members of the replica of "pass"

  Scenario: An idle accelerator weighs more than a waiting replica where the objective says so
    Given a planned domain of 8 engines with 1 replica of "gate" and 1 of "pass" in fours
    And stranded accelerators are what the objective weighs
    When one member of the replica of "gate" is killed and stays away
    Then the replica of "pass" goes on serving

  Scenario: A leaving member's replica drains before it is released
    # Every planned stop finishes what is in flight. An entry that has not seen the plan yet may be
    # sending at this moment; its silence must not be taken for "none in flight".
    Given a planned domain of 10 engines with 1 replica of "pass" in fours
    When the leader of the replica is told to leave with 3 requests in flight
    Then its replica drains, and is released only when engine and every entry report none

  Scenario: A domain that nobody hears keeps its plan
    Given a planned domain of 8 engines with 2 replicas of "pass" in fours
    When all engines fall silent for an hour and wake
    Then the same replicas serve under the same numbers

  Scenario: A plan that changes nothing is not written again
    Given a planned domain of 10 engines with 2 replicas of "pass" in fours
    Then 100 further looks at it change nothing

  Scenario: Domains that plan alone agree on their shares
    When the demand for 13 replicas is split over 5 domains by owners that list them in any order
    Then all owners have the same shares, and together they make 13
