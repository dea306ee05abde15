Feature: The whole path over separate processes

  A platform, the engines of one replica, a plain service and an entry run as processes of their
  own. A caller knows the entry's address and nothing else.

  Scenario: A caller gets a whole streamed answer
    Given a deployment with 2 engines that form 1 replica of 2
    When a caller asks the entry for a streamed answer
    Then the caller has the whole answer, byte for byte
    And the replica's leader ran the request once and no other engine ran any
