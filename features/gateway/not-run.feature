Feature: A request that no server has run goes on while its caller waits, and never starts too late

  # Guards against refusing a caller 4 ms after the first attempt because the retry budget is used up
  # just then, although requests earn the next retry within the wait.
  Scenario: The retry budget is used up and earned again
    Given a gateway with 3 plain servers, an empty retry budget and 200 requests a second
    When a request that must not run twice is refused by its server
    Then the request waits
    When 100 ms pass with their requests
    Then the request was sent to 2 servers

  # Guards against holding requests for a retry that can't be expected.
  Scenario: The retry budget is used up and nothing earns another retry
    Given a gateway with 3 plain servers, an empty retry budget and 0 requests a second
    When a request that must not run twice is refused by its server
    Then the caller is told that it was not run

  # Guards against spending retries beyond the budget while requests wait for one.
  Scenario: Requests wait for retries for a long time
    Given a gateway with 3 plain servers, an empty retry budget and 20 requests a second
    Then in 60 s of requests that are all refused at first, at most 10 in 100 are sent twice

  # Guards against counting servers that nothing reached like refusals: they cost the fleet nothing.
  Scenario: Six servers can't be connected to
    Given a gateway with 8 plain servers, an empty retry budget and 0 requests a second
    When a request that must not run twice can't be sent to 6 servers
    Then the request was sent to 7 servers
    And the caller has no answer yet

  # Guards against excluding servers for good that refused a request which must not run twice.
  Scenario: The only server refuses a request and has room again
    Given a gateway with 1 plain server, a free retry budget and 20 requests a second
    When a request that must not run twice is refused by its server
    And 200 ms pass with their requests
    Then the request was sent twice to that server

  # Guards against work for callers that have left: at once at the server, and not later from a wait.
  Scenario: A caller leaves before the first byte of its answer
    Given a gateway with 3 plain servers, an empty retry budget and 200 requests a second
    When a request that must not run twice is sent and its caller leaves
    Then the connection to its server was closed

  # Guards against sending a request that waited after its caller has left.
  Scenario: A caller leaves while its request waits
    Given a gateway with 3 plain servers, an empty retry budget and 200 requests a second
    When a request that must not run twice is refused by its server
    And its caller leaves
    And 1000 ms pass with their requests
    Then the request was sent to 1 servers

  # Guards against attempts that can't be answered any more when their turn comes.
  Scenario Outline: A request is refused with <left> ms left where answers take <takes> ms
    Given a gateway with 3 plain servers, a free retry budget and 20 requests a second
    And answers of the service take <takes> ms
    When a request that must not run twice is refused by its server with <left> ms left
    Then the request was sent to <servers> servers

    Examples:
      | takes | left | servers |
      | 200   | 150  | 2       |
      | 200   | 90   | 1       |
      | 20    | 90   | 2       |
      | 2000  | 200  | 2       |
      | 2000  | 140  | 1       |

  # Guards against a request that is written after its deadline, when a connection took long to open.
  Scenario Outline: A connection opens <ms> ms after the last moment to send
    When a request gets a connection that opens <ms> ms after its last moment to send
    Then the server <got> it

    Examples:
      | ms  | got         |
      | -50 | has got     |
      | 50  | has not got |
