Feature: The cause of a failed request is found from its id in the logs

  # A failed request must be explainable afterwards from its id and the gateways' logs alone.

  Scenario: No backend server was there
    Given a site with 1 plain server and a ready gateway
    And the first server has ended
    When a caller asks for "/check/1"
    Then explaining the request tells "noTarget" and shows "requestWaits"

  Scenario: The answer was lost after the request had run
    Given a site with 2 plain servers and a ready gateway
    And each server loses its answers
    When a caller asks for "/check/1"
    Then explaining the request tells "connectionBroken" and shows "requestSent"

  Scenario: The backend server failed by itself
    Given a site with 1 plain server and a ready gateway
    And each server fails
    When a caller asks for "/check/1"
    Then explaining the request tells "serverFailed" and shows "requestEnded"

  # Guards against a refusal whose log doesn't tell that the servers had asked for it.
  Scenario: The servers had refused requests and said when to come back
    Given a site with 2 plain servers and a ready gateway
    And all of them refuse requests and ask for "9" s of rest
    When a caller asks for "/check/1"
    And a caller asks for "/check/1"
    And a caller asks for "/check/1"
    Then explaining the request tells "allCoolingDown" and shows "requestEnded"

  Scenario: The server was silent until the caller's time was up
    Given a site with 1 plain server and a ready gateway
    And each server says nothing
    When a caller asks for "/list/1"
    Then explaining the request tells "timeUp" and shows "serverSuspected"

  Scenario: An id that no gateway has seen
    Given a site with 1 plain server and a ready gateway
    Then explaining the request "nobody" tells "notLogged"

  Scenario: The page for those on call names what there is
    Then every event, cause and metric that the operations page names exists

  Scenario: Nobody reads the log
    # A log collector that stops reading must neither block the gateway nor exhaust its memory.
    Given a site with 1 plain server and a ready gateway whose log nobody reads
    When 3000 callers ask for "/list/1", 50 at once
    Then all of them were answered
    And the gateway has left lines out and counted them
