Feature: A gateway passes requests on, and every caller gets one whole answer or a true refusal

  Scenario: A plain answer comes back as the backend server gave it
    Callers read the backend server's own answer: status, body and signature unchanged. The key stays
    at the gateway, and the backend server learns the workspace that holds it instead.
    Given a site with 2 plain servers and a ready gateway
    When a caller asks for "/list/slots?day=1"
    Then the answer is 200, whole and signed by the server that ran it
    And the server got the workspace "market" and no key
    And the server got the path "/list/slots?day=1" and a deadline below 2001

  Scenario: A call that must not be repeated loses its answer
    A check-in runs, the connection breaks before the answer, and the caller is told that it may have
    run. Sent again it would run twice, and an audit would show one person on site twice.
    Given a site with 2 plain servers and a ready gateway
    And each server loses its answers
    When a caller asks for "/check/in"
    Then the answer is 502
    And the request ran once

  Scenario: A call that may be repeated loses its answer
    The connection breaks after the call ran. Another server can answer it as well, within the
    caller's time, so the caller never notices.
    Given a site with 2 plain servers and a ready gateway
    And the first server loses its answers
    When 6 callers ask for "/list/slots"
    Then each answer is 200 and whole

  Scenario: A server refuses what it has not run
    A full server says that it did not run a call. Even one that must not be repeated may then go to
    another server.
    Given a site with 2 plain servers and a ready gateway
    And the first server refuses
    When 6 callers ask for "/check/in"
    Then each answer is 200 and whole
    And no request ran twice

  Scenario: A late answer of another request arrives
    A server sends an answer that carries another id where ours is due. Passed on, a caller would read
    what belongs to somebody else.
    Given a site with 1 plain server and a ready gateway
    And each server sends answers of another request
    When a caller asks for "/check/in"
    Then the answer is 502
    And the answer does not contain "foreign"

  Scenario: An answer without a length is cut by a reset
    The parser takes the end of the connection for the end of the answer. Only the reset tells that
    the rest is missing.
    Given a site with 1 plain server and a ready gateway
    And each server resets answers without a length
    When a caller asks for "/check/in"
    Then the answer is 502

  Scenario: An encoded answer is not the server's body
    No caller asks for an encoding, so an answer that has one can't be read by the caller.
    Given a site with 1 plain server and a ready gateway
    And each server encodes its answers
    When a caller asks for "/check/in"
    Then the answer is 502

  Scenario: A server's own failure is passed on as it is
    The operator allows two attempts; both servers fail the call, and the last failure with its
    signature is the answer.
    Given a site with 2 plain servers and a ready gateway
    And each server fails
    When a caller asks for "/list/slots"
    Then the answer is 500 and signed
    And the request ran at 2 servers

  Scenario: A caller with an unknown key, and one without a route
    Given a site with 1 plain server and a ready gateway
    When a caller with the key "nobody" asks for "/list/slots"
    Then the answer is 401
    When a caller asks for "/nowhere/"
    Then the answer is 404

  Scenario: A gateway without a configuration refuses with a promise
    It has started while the store has no configuration yet. What it can't judge it may not deny: the
    caller is told that the request was not run and when to come back.
    Given a site with 1 plain server and no configuration
    And a gateway
    When a caller asks for "/list/slots"
    Then the answer is 503 with a time to come back
    And the gateway is not ready

  Scenario: All servers of a service are away
    Nothing can run the request. It is given up within the part of the caller's time that a wait may
    take, with the promise that it was not run.
    Given a site with 1 plain server and a ready gateway
    And the first server refuses
    When a caller asks for "/check/in"
    Then the answer is 503 with a time to come back
    And the request did not run

  Scenario: An answer without a length keeps its form
    A server that crashes closes its connection, and an answer without a length that is cut there
    looks like a whole one. With a length of ours it would be framed as complete; passed on as it
    came, its end is the end of the connection.
    Given a site with 1 plain server and a ready gateway
    And each server answers without a length
    When a caller asks for "/check/in"
    Then the answer is 200 and ends with its connection
