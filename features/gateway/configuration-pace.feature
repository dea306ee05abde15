Feature: Configuration versions in quick succession

  # Reading every version of a quick series would multiply the calls to the store by the gateways.
  Scenario: A gateway that another one tells of versions reads some of them, and the last
    Given a gateway that relies on another one, and must have a version in force within 2000 ms
    When it learns of 30 versions, one every 50 ms
    Then the last of them is in force 1000 ms later
    And it has read at most 5 times

  Scenario: A single version is read at once
    Given a gateway that relies on another one, and must have a version in force within 60000 ms
    When it learns of 1 version, one every 50 ms
    Then the last of them is in force 1000 ms later
    And it has read at most 1 time

  # Guards against a gateway that never reads the configuration again after one read has failed.
  Scenario: A version can't be processed
    Given a gateway that relies on another one, and must have a version in force within 2000 ms
    And the next version makes its decoder fail
    When it learns of 2 versions, one every 1000 ms
    Then the last of them is in force 1000 ms later
