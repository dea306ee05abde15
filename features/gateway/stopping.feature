Feature: A gateway that is told to stop loses nothing

  # A planned stop in the middle of the day. A caller uses the connection that it has kept and asks for
  # a stream some seconds after the signal. The gateway takes it, the engine needs longer than what is
  # left of the grace, and the connection ends in the middle of the answer; the log shows no end.
  Scenario: A stream is asked for that would outlast what is left of the grace
    Given a site whose streams take 6000 ms and a ready gateway with a grace of 8000 ms
    When a caller asks for a stream on its kept connection 3000 ms after the gateway is told to stop
    Then the caller has a whole answer, or a promise that its request did not run
    And each id that a caller saw has one end in the log

  # A stream is under way when the signal comes and its engine needs longer than the grace. It runs until
  # the last moment; then its caller has whole events only, and goes on at another gateway after the last.
  Scenario: A stream outlasts the grace and goes on elsewhere
    Given a site whose streams take 3000 ms and a ready gateway with a grace of 2000 ms
    And another ready gateway
    When a caller reads a stream, and its gateway is told to stop
    Then the stream is broken off when the grace is nearly over, with the reason in the log
    And the rest of the stream comes from the other gateway
    And explaining it tells "gatewayStopped"
    And each id that a caller saw has one end in the log

  # The caller must not ask again, and nothing tells whether it has run. A connection that just closes
  # would leave it to guess.
  Scenario: A request that may run once outlasts the grace
    Given a site whose plain server takes 3000 ms and a ready gateway with a grace of 2000 ms
    When a caller asks for "/check/1", and the gateway is told to stop while its server works
    Then the caller has a whole answer that says that the request may have run
    And explaining it tells "gatewayStopped"
    And each id that a caller saw has one end in the log

  # A caller on a slow link is in the middle of its body when the signal comes.
  Scenario Outline: A body is half read at the signal
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

  # Gateways of one failure domain are replaced. Callers keep their connections until they are told to
  # close them, and go on at another gateway after a promise; the balancer still sends them to gateways
  # that stop. The operator meanwhile changes the configuration and has the settings read again.
  Scenario Outline: <who> of 3 gateways stop while callers go on
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
