Feature: Gateways apply changes of the store in time, despite faults of the store

  Scenario: The store is silent for a while, and a change is acknowledged at its return
    # Calls received while the store is unresponsive are never answered; a watch that hangs on one of
    # them must not delay the new configuration.
    Given a site with 1 plain server and 3 ready gateways
    When the store is silent for 3000 ms
    And the operator revokes the key as the store returns
    Then every gateway refuses with 401 within 2000 ms of the acknowledgement

  Scenario Outline: The store or the way to it <fails> for <ms> ms, and then a change is acknowledged
    # After any kind of outage, updates must not wait for calls, connections or pauses that began
    # during it.
    Given a site with 1 plain server and 4 ready gateways in 2 failure domains
    When the store <fails> for <ms> ms
    And the operator revokes the key as the store returns
    Then every gateway refuses with 401 within 1000 ms of the acknowledgement

    Examples:
      | fails                              | ms   |
      | is silent                          | 1000 |
      | is silent                          | 6000 |
      | is silent                          | 9000 |
      | turns everybody away               | 3000 |
      | resets connections                 | 3000 |
      | drops its history                  | 1000 |
      | is cut off from half of them       | 3000 |
      | turns half of them away            | 3000 |
      | can not be heard                   | 3000 |
      | does not hear                      | 3000 |
      | answers 800 ms late                | 3000 |
      | is silent, and half of them start anew | 3000 |

  Scenario: The store answers short calls, and watches wait in vain
    # A watch on a dead connection looks like one without changes.
    Given a site with 1 plain server and 4 ready gateways in 2 failure domains
    When watches of the store are never answered
    And the operator revokes the key
    Then every gateway refuses with 401 within 2000 ms of the acknowledgement

  Scenario: A steady store
    Given a site with 1 plain server and 4 ready gateways in 2 failure domains
    When the operator revokes the key
    Then every gateway refuses with 401 within 500 ms of the acknowledgement
    And the proof of every gateway's configuration stays younger than 2000 ms for 4000 ms
    And one gateway of each failure domain follows the store

  Scenario: A server goes as the store drops its history
    # A removal found by relisting has no object with a revision. Peers must not discard it as old and
    # go on sending to the server.
    Given a site with 2 plain server and 3 ready gateways
    When the store drops its history and the first server goes
    Then every gateway knows within 2000 ms that it has gone

  Scenario: A gateway that does not follow is cut off from the store
    # A gateway that plans replicas must notice that it can't reach the store, even without other calls
    # to it, so that another gateway takes over its domains.
    Given a site with 1 plain server and 4 ready gateways in 2 failure domains
    And one gateway of each failure domain has come to follow the store
    When one that does not follow is cut off from the store
    Then it knows within 7000 ms that it does not reach the store

  # Guards against a change that reaches gateways without a store too late, since they and their hub wait
  # for a store before they ask another gateway.
  Scenario Outline: <who> <lose> the store, and <ms> ms later a change is acknowledged
    Given a site with 15 gateways in 3 failure domains, each with one that follows the store
    When <who> <lose> the store for <ms> ms
    And the operator revokes the key
    Then every gateway refuses with 401 within 2000 ms of the acknowledgement

    Examples:
      | who                                | lose               | ms   |
      | all gateways of one failure domain | are turned away by | 0    |
      | all gateways of one failure domain | are turned away by | 3000 |
      | all gateways of one failure domain | hear nothing of    | 0    |
      | all gateways of one failure domain | hear nothing of    | 6000 |

    Examples:
      | who                                | lose               | ms   |
      | those that follow                  | are turned away by | 0    |
      | those that follow                  | hear nothing of    | 0    |
      | all gateways but those that follow | are turned away by | 0    |
      | all gateways but those that follow | hear nothing of    | 0    |

  # Guards against a definite refusal by a configuration that may be outdated: callers do not come back.
  Scenario Outline: The store is silent for <ms> ms, and requests come that the last known configuration does not allow
    Given a site with 1 plain server and 2 ready gateways
    When the store is silent for <ms> ms while requests come without a known route and key
    Then they are refused with <status>, and from the store's return on with 404 and 401 again

    Examples:
      | ms   | status      |
      | 1000 | 404 and 401 |

    Examples:
      | ms   | status                   |
      | 4000 | 503 and a time to return |
