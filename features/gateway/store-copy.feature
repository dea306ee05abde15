Feature: The store is restored from an older copy

  # A restored store assigns the same revisions again. Gateways must not discard new changes as old
  # because of their lower revisions.
  Scenario: A server is added after the return
    Given a site with 2 plain server and 3 ready gateways
    And the store keeps a copy, and the servers write 60 times after that
    When the store is unavailable for 500 ms and is restored from the copy
    And a server is added
    Then every gateway sends to it within 2000 ms

  # The restore loses the acknowledged leaving or removal of the server until it is written again.
  Scenario Outline: A server that <left> is not sent to again
    Given a site with 2 plain server and 3 ready gateways
    And the store keeps a copy, and the first server <leaves>
    When the store is unavailable for 500 ms and is restored from the copy
    Then for 2000 ms nothing is sent to the first server
    When the first server <comes back>
    Then every gateway sends to it within 2000 ms

    Examples:
      | left        | leaves                       | comes back    |
      | was leaving | announces that it is leaving | starts again  |
      | was gone    | goes                         | writes again  |

  # The entries are listed a second time after a restore. That must not put a server out of service
  # again that has rewritten its entry since.
  Scenario: A server that was gone writes again before the second list
    Given a site with 2 plain server and 3 ready gateways
    And the store keeps a copy, and the first server goes
    When the store is unavailable for 500 ms and is restored from the copy
    Then for 1000 ms nothing is sent to the first server
    When the first server writes again
    Then every gateway sends to it within 2000 ms
    And 3000 ms later every gateway sends to it within 2000 ms

  # Guards against a server that stays out of service because its entry was written again before any
  # gateway listed the restored store.
  Scenario: A server that was gone writes again before the first list
    Given a site with 2 plain server and 3 ready gateways
    And the store keeps a copy, and the first server goes
    When the store is unavailable for 500 ms and is restored from the copy with the server's new entry
    Then every gateway sends to it within 7000 ms

  Scenario: A key that was taken away stays away
    Given a site with 2 plain server and 3 ready gateways
    And the store keeps a copy, and the operator revokes the key
    When the store is unavailable for 500 ms and is restored from the copy
    Then for 2000 ms every gateway refuses with 401
    When the operator writes a later version that has the key
    Then every gateway answers with 200 within 1000 ms

  # The restored plans lack the latest replicas. A planner must not treat their engines as free.
  Scenario: Replicas that were formed in the lost seconds go on
    Given a site with 8 engines and 2 ready gateways, with a copy of the store from before the first replica
    When the store is unavailable for 500 ms and is restored from the copy
    Then for 5000 ms the same 4 groups are open
    And the store has them in its plans again

  # Guards against a gateway that takes the entries of the copy for the state of the engines, because it has not
  # seen the store return.
  Scenario: Gateways start as the store returns from a copy
    Given a site with 8 engines and 2 ready gateways, with a copy of the store from before the first replica
    When the gateways are killed, and 2 others start as the store is restored from the copy
    Then for 5000 ms the same 4 groups are open
    And no engine has joined another replica while its own was open

  Scenario: Gateways are known to the store again
    Given a site with 1 plain server and 3 ready gateways, with a copy of the store from before the first
    When the store is unavailable for 500 ms and is restored from the copy
    Then the store names the 3 gateways within 6000 ms

  Scenario: A revision is given out again for another state of an object
    Given a client of the store that has read an object, and another that overtakes it after the return
    Then the write of the first on condition of what it has read changes nothing

  Scenario Outline: What the store says of its copies: <header>
    Then the header "<header>" means the era <era>

    Examples:
      | header | era |
      |        | 0   |
      | 7      | 7   |
      | -1     | 0   |
      | seven  | 0   |
      | 1.5    | 0   |
      | 3, 4   | 0   |
      | 99999999999999999999 | 0 |
