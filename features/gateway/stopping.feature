Feature: A gateway that is told to stop loses nothing

  # A planned stop in the middle of the day. A caller uses the connection that it has kept and asks for
  # a stream some seconds after the signal. The gateway takes it, the engine needs longer than what is
  # left of the grace, and the connection ends in the middle of the answer; the log shows no end.
  Scenario: A stream is asked for that would outlast what is left of the grace
    Given a site whose streams take 6000 ms and a ready gateway with a grace of 8000 ms
    When a caller asks for a stream on its kept connection 3000 ms after the gateway is told to stop
    Then the caller has a whole answer, or a promise that its request did not run
    And each id that a caller saw has one end in the log
