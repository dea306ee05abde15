Feature: What gateways know of the store has a proven age

  Scenario: The store is silent for a while, and a change is acknowledged at its return
    # Operators saw a version acknowledged, and more than two seconds later requests were still handled
    # by the one before. The store had been silent: it accepted calls and answered none, those that
    # waited then got no answer after its return either. Each gateway's watch of the configuration hung
    # until its own longest wait was over, while news of the backend servers came in on another call.
    # No peer could help, since all of them waited.
    Given a site with 1 plain server and 3 ready gateways
    When the store is silent for 3000 ms
    And the operator takes the key away as the store returns
    Then every gateway refuses with 401 within 2000 ms of the acknowledgement

  Scenario Outline: The store or the way to it <fails> for <ms> ms, and then a change is acknowledged
    # However the store was away, what gateways then know of it must not hang on calls, connections or
    # pauses that began while it was: a change at its return is in force everywhere within a second.
    Given a site with 1 plain server and 4 ready gateways in 2 failure domains
    When the store <fails> for <ms> ms
    And the operator takes the key away as the store returns
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
    # A connection on which a watch waits brings nothing any more and does not end. To the gateway it
    # looks as if there were no change.
    Given a site with 1 plain server and 4 ready gateways in 2 failure domains
    When watches of the store are never answered
    And the operator takes the key away
    Then every gateway refuses with 401 within 2000 ms of the acknowledgement

  Scenario: A steady store
    Given a site with 1 plain server and 4 ready gateways in 2 failure domains
    When the operator takes the key away
    Then every gateway refuses with 401 within 500 ms of the acknowledgement
    And the proof of every gateway's configuration stays younger than 2000 ms for 4000 ms
    And one gateway of each failure domain follows the store

  Scenario: A server goes as the store drops its history
    # The gateway that follows for the others has to list, and finds a server missing. No object that is
    # left shows when it went: the others took the news for old, kept the server and sent to it.
    Given a site with 2 plain server and 3 ready gateways
    When the store drops its history and the first server goes
    Then every gateway knows within 2000 ms that it has gone

  Scenario: A gateway that does not follow is cut off from the store
    # It plans replicas in its fabric domains and has nothing else to ask the store for: it has to find
    # out all the same, so that another one takes its domains.
    Given a site with 1 plain server and 4 ready gateways in 2 failure domains
    And one gateway of each failure domain has come to follow the store
    When one that does not follow is cut off from the store
    Then it knows within 7000 ms that it does not reach the store
