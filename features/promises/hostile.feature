Feature: An entry before hostile input

  Callers, peers, operators, the platform and an engine send what no protocol has. The entry must
  neither end nor grow without bound, and go on serving its other callers.

  Scenario: noise and oversized input from every side
    Given an entry before one replica, to be met by hostile input
    When callers, peers and operators send it noise, nested and unfolding messages
    And the platform lists objects of no schema and an engine that answers without end
    Then the entry serves a whole stream and holds less than 400 million bytes
