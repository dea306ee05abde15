Feature: Requests of every kind arrive all through the grace of a stopping gateway

  # Guards against taking a request late in the grace, passing it on, and cutting it at the end without an
  # answer: a caller of a request that may run only once can then neither repeat it nor know its outcome.
  Scenario Outline: A gateway stops while callers go on until it has exited, and meanwhile <event>
    Given a site with quick, slow and endless answers, and a ready gateway with a grace of 4000 ms
    When callers send requests of every kind to it until it has exited, and meanwhile <event>
    Then what a caller has no whole answer for never ran, or is a stream that began early
    And what was refused with a promise never ran, and nothing ran twice that may run once
    And nothing that outlasts the grace was passed on after the balancer had left

    Examples:
      | event                          |
      | nothing else happens           |
      | it is told to stop again       |
      | its settings and routes change |
      | its servers refuse at first    |
