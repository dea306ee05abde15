Feature: Gateways learn which backend servers are slow, and send them less

  # Guards against a slow replica that gets its full share until its streams stall.
  Scenario Outline: One replica of 20 is <factor> times slower
    Given 20 replicas, of which 1 is <factor> times slower
    When answers of drawn loads are observed for 2000 ms with seed <seed>
    Then the slow replica gets at most <share> of a fair share
    And the other replicas count as usual
    And once it has the usual speed again it counts as usual after 4000 ms

    Examples:
      | factor | share | seed |
      | 4      | 0.25  | 1    |
      | 8      | 0.06  | 2    |
      | 12     | 0.06  | 3    |

  # Guards against avoiding all or most servers, which would overload the rest or leave nowhere to send to.
  Scenario Outline: <slow> of 20 replicas are 8 times slower
    Given 20 replicas, of which <slow> are 8 times slower
    When answers of drawn loads are observed for 2000 ms with seed 4
    Then each replica counts as usual

    Examples:
      | slow |
      | 20   |
      | 14   |

  # Guards against requests that wait behind the full servers of usual speed while slow ones are idle.
  Scenario: The servers of usual speed have no room
    Given 4 targets, one of them 8 times slower and the others full
    When a gateway of a large fleet draws 4000 times
    Then the slow one gets between 0.05 and 0.4 of the requests

  # Guards against long queues at the servers of usual speed of a small fleet while a slow one is idle.
  Scenario Outline: The servers of usual speed of a small fleet have <use> times as many requests as slots
    Given 4 targets, one of them 8 times slower and the others with <use> times as many requests as slots
    When a gateway of a small fleet chooses 1000 times
    Then the slow one gets between <least> and <most> of the requests

    Examples:
      | use | least | most |
      | 0.5 | 0.01  | 0.08 |
      | 1.8 | 0.95  | 1    |

  # Guards against a server that is avoided for one late answer.
  Scenario: A single late answer
    Given 20 replicas, of which 0 are 1 times slower
    When one answer takes 8 times the usual time
    Then each replica counts as usual

  # Guards against long prompts, of the request itself and of others at its replica, that count as slowness.
  Scenario Outline: A stream with a prompt of <prompt> tokens and <others> tokens of other prompts
    When a stream with a prompt of <prompt> tokens is answered at usual speed with <others> tokens of other prompts before its events
    Then no part of its answer counts as slower than 1.3 times the usual

    Examples:
      | prompt | others |
      | 200    | 0      |
      | 20000  | 0      |
      | 200    | 8000   |

  # Guards against tests of long prompts that hold since nothing ever counts as slow.
  Scenario: A stream of a slow replica
    When a stream with a prompt of 200 tokens is answered 6 times slower
    Then each part of its answer counts as slower than 3 times the usual

  # Guards against blaming servers for times at which the gateway itself had no processor time.
  Scenario Outline: A gateway that <paused>
    Given a gateway with 20 replicas that <paused>
    When all its streams get their events 500 ms late
    Then <count> of their times are compared

    Examples:
      | paused                          | count |
      | has just been paused            | no    |
      | is still late                   | no    |
      | has run without interruption    | all   |

  # Guards against full load for a server that has just started and is slow for some seconds.
  Scenario: A server starts again
    Given a gateway with 20 replicas that has run without interruption
    When the first of them is listed with a new start time
    Then it counts as slow at first, less so after 1500 ms, and as usual after 3100 ms
    And the other replicas are described as before

  # Guards against a server that only slows down near its full count and is avoided altogether.
  Scenario: A server slows down near its full count
    Given 20 replicas, of which 0 are 1 times slower
    When the first answers 5 times slower, but only with more than 0.8 of its slots in use
    Then it gets at most 18 of 24 requests at a time, and is not avoided

  # Guards against beliefs that outlive what they were based on.
  Scenario: News of other gateways get old
    Given 20 replicas, of which 0 are 1 times slower
    When another gateway reports the first as 8 times slower with an age of 0 ms
    Then the first counts as slow
    And 7000 ms later it counts as usual

  # Guards against news from before a cut that count as new when they arrive.
  Scenario: News arrive late
    Given 20 replicas, of which 0 are 1 times slower
    When another gateway reports the first as 8 times slower with an age of 8000 ms
    Then each replica counts as usual

  # Guards against gateways that confirm each other's reports of what only one of them has seen.
  Scenario Outline: One of <gateways> gateways sees slow answers
    Given <gateways> gateways in 3 failure domains
    When one of them sees 10 slow answers of a server, and all exchange digests for <ms> ms
    Then all other gateways know that the server is slow
    And no gateway has heard of more than 10 observations
    And 10000 ms later no gateway reports it

    Examples:
      | gateways | ms   |
      | 7        | 1000 |
      | 60       | 3000 |

  # Guards against digests that grow with the number of servers.
  Scenario: Very many servers are slow
    When a gateway sees slow answers of 500 servers of 2000
    Then it reports 32 of them, and so does a summary of 20 such gateways

  # Guards against values of a faulty gateway that break decisions or digests.
  Scenario: Observations and reports of any value
    When 2000 observations and reports of any value are recorded
    Then each target has a positive and finite weight and cost
    And each report is valid

  # Guards against a change of decisions where nothing was observed.
  Scenario: Nothing was observed
    When targets without observations are chosen with seed 7
    Then the choices are those made before speeds were known

  # Guards against learning too late to matter: each gateway has few streams per replica.
  Scenario Outline: Replicas of a large fleet are 4 to 12 times slower for some seconds
    Given 85 gateways in 3 failure domains that report to their hub every 870 ms
    And 20 replicas of 24 slots with 242 requests a second, one of which is slow for 4 s every 2000 ms
    When the fleet is played for 12 seconds with seed <seed>, without and with shared speeds
    Then with shared speeds at least 0.3 of the late answers and 0.8 of the very late ones are avoided

    Examples:
      | seed |
      | 1    |
      | 2    |
