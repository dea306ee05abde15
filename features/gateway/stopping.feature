Feature: A gateway shuts down without losing requests

  Scenario: A stream is asked for that would outlast what is left of the grace
    # Guards against accepting a stream that can't end within the rest of the grace period.
    Given a site whose streams take 6000 ms and a ready gateway with a grace of 8000 ms
    When a caller asks for a stream on its kept connection 3000 ms after the gateway is told to stop
    Then the caller has a whole answer, or a promise that its request did not run
    And each id that a caller saw has one end in the log

  Scenario: A stream outlasts the grace and goes on elsewhere
    # A stream that outlasts the grace period ends after a whole event and is resumed at another gateway.
    Given a site whose streams take 3000 ms and a ready gateway with a grace of 2000 ms
    And another ready gateway
    When a caller reads a stream, and its gateway is told to stop
    Then the stream is broken off when the grace is nearly over, with the reason in the log
    And the rest of the stream comes from the other gateway
    And explaining it tells "gatewayStopped"
    And each id that a caller saw has one end in the log

  Scenario: A request that may run once outlasts the grace
    # The caller of a non-repeatable request is told that it may have run.
    Given a site whose plain server takes 3000 ms and a ready gateway with a grace of 2000 ms
    When a caller asks for "/check/1", and the gateway is told to stop while its server works
    Then the caller has a whole answer that says that the request may have run
    And explaining it tells "gatewayStopped"
    And each id that a caller saw has one end in the log

  Scenario Outline: A body is half read at the signal
    # The shutdown signal arrives while a caller is still sending its request body.
    Given a site whose plain server takes 100 ms and a ready gateway with a grace of 2000 ms
    When a caller sends half of a body to "/check/1", and the gateway is told to stop
    And the caller <then>
    Then its request <outcome>
    And each id that a caller saw has one end in the log

    Examples:
      | then                   | outcome                           |
      | sends the rest         | is answered and runs once         |
      | sends no more          | is refused with a promise in time |
      | leaves within its body | does not run                      |

  Scenario Outline: <who> of 3 gateways stop while callers go on
    # Gateways are replaced while callers reuse connections and the configuration changes.
    Given a site with streams and calls, and 3 ready gateways with a grace of 2000 ms
    When callers keep asking, and <who> of the gateways stop <apart> ms apart, with a change meanwhile
    Then every answer was whole, and a good one or a promise
    And what had no answer or a promise never ran, and no call ran twice
    And each id that a caller saw has one end in the log

    Examples:
      | who | apart |
      | 1   | 0     |
      | 2   | 400   |
      | 3   | 0     |
      | 3   | 800   |
