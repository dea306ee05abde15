Feature: A replica serves only as a whole

  Scenario: No replica is listed while any of its members speaks against it
    # A caller would get an answer computed without one machine, or wait for one that never comes.
    # A member dies, restarts, is moved by an old order, falls silent or leaves, at any moment and in
    # any combination, while the plan still calls the replica whole.
    When replicas are checked for serving against 2000 random states of their members
    Then each was listed exactly when all its members were well

  Scenario: A failed request counts at once and a late report does not undo it
    # A request breaks off because a member died. A probe that was sent before brings a good report
    # afterwards. Were that believed, the next caller would be sent to the same dead replica.
    Given a replica in service
    When a request to one of its members fails while a probe is under way
    Then the replica is out of service, also after that probe's good report
    And a report that is asked for later brings it back

  Scenario: What peers pass on never looks fresher than it is
    # The link to a prober is slow. Its good report of a member that has since died arrives late;
    # counted from its arrival, it would keep the dead replica in service.
    Given a replica in service
    When a peer passes on a report of one member that was heard 1900 ms ago and took 200 ms
    Then that report does not keep the replica in service beyond the freshness bound

  Scenario: Every engine keeps its probers when entries come and go
    When probers are assigned for 60 engines to 9 entries and one entry is lost
    Then every engine had 2 probers before and after, near ones first, and no others changed
