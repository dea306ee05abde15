Feature: One odd entry of another writer is left out, and everything else goes on

  # Guards against a gateway that plans nothing, plans with numbers that are no longer exact, or takes the
  # store for lost, because of one entry of an engine.
  Scenario Outline: Among the engines stands an entry with <oddity>
    Given a site with 4 engines and no groups
    And another writer adds an entry of an engine with <oddity>
    And a gateway that is ready and reads it
    Then 2 groups of different epochs are open in the end
    And the gateway has logged no failure of its own or of the store
    And a change of an engine is in force within the usual time

    Examples:
      | oddity                                      |
      | a domain of 100000 characters               |
      | a domain that is half a character           |
      | the highest epoch                           |
      | an address that is no number of four parts  |
      | an address in no alphabet                   |
      | an id of 60000 characters                   |
      | a million characters of staged models       |
      | 100000 arrays in each other as its group    |
      | 100000 arrays in each other as unknown field |
      | a number of slots beyond all numbers        |
      | a start beyond all exact numbers            |
      | a cold time beyond all numbers              |
      | a revision beyond all exact numbers         |
      | a revision beyond all numbers               |
      | finalizers that are objects                 |
      | the name of a prototype                     |

  # Guards against a gateway that stops following the store, or takes it for lost, because of one change.
  Scenario Outline: A gateway that follows the store is told of an entry with <oddity>
    Given a site with 4 engines and no groups
    And a gateway that is ready and reads it
    And 2 groups of different epochs are open in the end
    When another writer adds an entry of an engine with <oddity>
    Then a change of an engine is in force within the usual time
    And the gateway has logged no failure of its own or of the store

    Examples:
      | oddity                                      |
      | a domain of 100000 characters               |
      | a domain that is half a character           |
      | the highest epoch                           |
      | an address that is no number of four parts  |
      | an address in no alphabet                   |
      | an id of 60000 characters                   |
      | a million characters of staged models       |
      | 100000 arrays in each other as its group    |
      | 100000 arrays in each other as unknown field |
      | a number of slots beyond all numbers        |
      | a start beyond all exact numbers            |
      | a cold time beyond all numbers              |
      | a revision beyond all exact numbers         |
      | a revision beyond all numbers               |
      | finalizers that are objects                 |
      | the name of a prototype                     |

  # Guards against requests that end because the address of one entry can't be called.
  Scenario: The address of a server can't be called
    Given a site with 2 plain servers and a ready gateway
    When another writer adds entries whose addresses can't be called
    Then 12 requests are answered, and the gateway has logged each of the entries once

  # Guards against a domain that is never planned again after one odd write, with a read in each round.
  Scenario Outline: Another writer has left <plan> in place of a plan
    Given a site with 4 engines and no groups
    And another writer has left <plan> in place of a plan
    And a gateway that is ready and reads it
    Then 2 groups of different epochs are open in the end
    And the gateway has logged "planUnreadable" at most 2 times

    Examples:
      | plan                                      |
      | a text                                    |
      | the highest epoch                         |
      | 100000 arrays in each other as its groups |
