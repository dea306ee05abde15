Feature: Workspaces, kinds of requests and callers share room that does not suffice

  # Guards against one workspace, or callers that retry at once, taking the room of all others.
  Scenario: One workspace floods the gateway
    Given 15 drawn loads from seed 1 in which one workspace asks for 3 to 10 times what can be served
    And its refused callers come back at once
    Then each other workspace that asks for less than its share is served at least 85 in 100
    And in the order without shares it would be served less than 50 in 100 in most of these loads

  # Guards against shares that serve some workspace next to nothing.
  Scenario: All workspaces ask for more than can be served
    Given 15 drawn loads from seed 2 in which 2 to 8 workspaces ask for 1.2 to 3 times what can be served
    Then each workspace is served at least a quarter as often as all

  # Guards against lower priorities that are served nothing, and against their going before higher ones.
  Scenario: Two priorities compete
    Given 15 drawn loads from seed 3 in which two priorities ask for 1.5 to 3 times what can be served
    Then each priority is served at least a quarter as often as all, and the higher one more often
    And in the order without shares the lower one would be served less than that in at least 5 of these loads

  # Guards against a change for deployments without workspaces.
  Scenario: The configuration has no workspaces
    Given 100 drawn queues from seed 4 without workspaces
    Then their fair order is the order of queues that are not shared

  # Guards against callers that are told to come back together, too late, or before room is free.
  Scenario Outline: <queued> requests wait, <rate> are sent a second, and the caller has <left> ms left
    When a caller is refused with <left> ms left where <queued> requests wait and <rate> are sent a second
    Then it is told to come back after <soonest> to <latest> ms, spread over at least <spread> ms

    Examples:
      | queued | rate | left | soonest | latest | spread |
      | 19     | 50   | 6000 | 400     | 600    | 150    |
      | 99     | 20   | 6000 | 1330    | 2000   | 500    |
      | 0      | 100  | 6000 | 10      | 20     | 0      |
      | 500    | 1    | 300  | 60      | 100    | 20     |
      | 5      | 0    | 6000 | 700     | 1050   | 250    |
