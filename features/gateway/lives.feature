Feature: An engine that restarts under the same id is treated as a new process

  Scenario: A member of an open group starts again
    The engine's store entry never vanishes. Guards against a restarted member being taken for the
    former one, which would leave a broken group in service.
    Given a site with 5 engines and a ready gateway with 2 open groups
    When a member of an open group starts again
    Then its former group is not open any more and 2 groups are open
    And the restarted engine was never ordered to join its former group

  Scenario: An idle engine starts again without its weights
    The weights have to be staged again before the engine can replace a lost member.
    Given a site with 5 engines and a ready gateway with 2 open groups
    And the idle engine has weights on its host
    When the idle engine starts again
    Then it has weights on its host again within 5000 ms

  Scenario: A backend server starts again at another address
    Guards against requests being sent to the former process over connections that were kept open.
    Given a site with 1 plain server and a ready gateway
    And connections to it are kept
    When its id is started at another address while the former process keeps running
    Then no request reaches the former process once the gateway knows

  Scenario: State recorded for a former process does not apply to the restarted one
    # Failures, stalls and load of the former process must not keep a restarted server out of service.
    Given a backend server that failed, stalled and has 5 requests in flight
    When it restarts under the same id
    Then it is selected, with no recorded failures or load
    And late results of the 5 requests do not change that, nor does an older suspicion of a peer
    And after they have ended, its own failures and requests are counted

  Scenario: A restarted engine has none of the models of its former process
    Given an engine that was last ready in a replica of "small"
    When its entry is updated by the same process, and then by a restarted one
    Then its last model is "small" first, and then none

  Scenario: Probe results of a former process do not apply to the restarted one
    # Guards against results of probes of the former process being applied to the restarted one.
    Given a replica whose members are probed, one silent and one slow
    When both restart before the probes complete
    Then neither is lost or slow

  Scenario: An order applies to one process of an engine
    Given a planned group whose member has restarted and reports that it has joined the group
    Then the next plan disbands the group, and no earlier order forms it
    And a plan without start times is marked as formed once, and then left unchanged
