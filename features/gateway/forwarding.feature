Feature: A gateway forwards requests, and every caller gets one complete response or a definite refusal

  Scenario: A plain answer comes back as the backend server gave it
    # Status, body and signature are relayed unchanged; the key is replaced by its workspace.
    Given a site with 2 plain servers and a ready gateway
    When a caller asks for "/list/slots?day=1"
    Then the answer is 200, whole and signed by the server that ran it
    And the server got the workspace "market" and no key
    And the server got the path "/list/slots?day=1" and a deadline below 2001

  Scenario: A call that must not be repeated loses its answer
    # Guards against retrying a non-repeatable call whose connection breaks before the response.
    Given a site with 2 plain servers and a ready gateway
    And each server loses its answers
    When a caller asks for "/check/in"
    Then the answer is 502
    And the request ran once

  Scenario: A call that may be repeated loses its answer
    # Retries a repeatable call at another server within the deadline.
    Given a site with 2 plain servers and a ready gateway
    And the first server loses its answers
    When 6 callers ask for "/list/slots"
    Then each answer is 200 and whole

  Scenario: A server refuses what it has not run
    # A call that a server reports as not run is retried, even if it must not run twice.
    Given a site with 2 plain servers and a ready gateway
    And the first server refuses
    When 6 callers ask for "/check/in"
    Then each answer is 200 and whole
    And no request ran twice

  Scenario: A late answer of another request arrives
    # Guards against relaying a response that belongs to another request.
    Given a site with 1 plain server and a ready gateway
    And each server sends answers of another request
    When a caller asks for "/check/in"
    Then the answer is 502
    And the answer does not contain "foreign"

  Scenario: An answer without a length is cut by a reset
    # The HTTP parser takes a reset for the end of a close-delimited response.
    Given a site with 1 plain server and a ready gateway
    And each server resets answers without a length
    When a caller asks for "/check/in"
    Then the answer is 502

  Scenario: An encoded answer is not the server's body
    # Callers request no content encoding, so an encoded response must not be relayed.
    Given a site with 1 plain server and a ready gateway
    And each server encodes its answers
    When a caller asks for "/check/in"
    Then the answer is 502

  Scenario: A server's own failure is passed on as it is
    # When all attempts fail, the last failure response is relayed with its signature.
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
    # Without a configuration a request gets a retryable error that states that it was not run.
    Given a site with 1 plain server and no configuration
    And a gateway
    When a caller asks for "/list/slots"
    Then the answer is 503 with a time to come back
    And the gateway is not ready

  Scenario: All servers of a service are away
    # Without a usable server a request fails within the wait limit and is reported as not run.
    Given a site with 1 plain server and a ready gateway
    And the first server refuses
    When a caller asks for "/check/in"
    Then the answer is 503 with a time to come back
    And the request did not run

  Scenario: An answer without a length gets one
    # Guards against a part that looks whole to its caller when the gateway is killed while it is sent.
    Given a site with 1 plain server and a ready gateway
    And each server answers without a length
    When a caller asks for "/check/in"
    Then the answer is 200, whole and has a length
