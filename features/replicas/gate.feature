Feature: A replica serves only as a whole

  Scenario: No replica is listed while any of its members speaks against it
    # Guards against requests to a replica that the plan lists as whole while a member is dead,
    # restarted, reassigned, unreachable or leaving.
    When replicas are checked for serving against 2000 random states of their members
    Then each was listed exactly when all its members were healthy

  Scenario: A failed request counts at once and a late report does not undo it
    # Guards against a probe sent before the failure that restores a dead replica with its late report.
    Given a replica in service
    When a request to one of its members fails while a probe is under way
    Then the replica is out of service, even after that probe's healthy report
    And a report that is requested later restores it

  Scenario: What peers pass on never looks fresher than it is
    # Guards against a report delayed by a slow link whose age is counted from its arrival.
    Given a replica in service
    When a peer forwards a report of one member that is 1900 ms old and took 200 ms to arrive
    Then that report does not keep the replica in service beyond the freshness bound

  Scenario: Every engine keeps its probers when entries come and go
    When probers are assigned for 60 engines to 9 entries and one entry is lost
    Then every engine had 2 probers before and after, near ones first, and no others changed
