Feature: What backend servers say of their availability is kept whatever form it has

  # Guards against a header of an unexpected form that ends a rest early or puts a server out of service for good.
  Scenario Outline: A refusal with <status> and the header <header>
    When a server that serves answers <status> with the header "<header>"
    Then it is left alone for <ms> ms

    Examples:
      | status | header                                     | ms      |
      | 503    | Retry-After: 3                             | 3000    |
      | 503    | retry-after:   2.5                         | 2500    |
      | 503    | Retry-After: 0.2                           | 200     |
      | 503    | Retry-After: 0                             | 0       |
      | 503    | Retry-After: 0.0                           | 0       |
      | 503    | Retry-After: 99999999999999999             | 3600000 |
      | 503    | X-Other: 3                                 | 0       |
      | 503    | Retry-After:                               | 0       |
      | 503    | Retry-After: -3                            | 0       |
      | 503    | Retry-After: 3 s                           | 0       |
      | 503    | Retry-After: 1e9                           | 0       |
      | 503    | Retry-After: NaN                           | 0       |
      | 503    | Retry-After: Infinity                      | 0       |
      | 503    | Retry-After: 0x10                          | 0       |
      | 503    | Retry-After: 3, 5                          | 0       |
      | 503    | Retry-After: Thu, 01 Jan 2032 00:00:00 GMT | 0       |
      | 200    | Retry-After: 3                             | 0       |
      | 429    | Retry-After: 3                             | 0       |
      | 421    | Retry-After: 3                             | 0       |

  # Guards against a rest that a later or shorter one cuts off, in answers drawn from a seed.
  Scenario: Drawn refusals of one server
    When a server gives 200 series of answers that are drawn from seed 38
    Then it gets a request exactly while none of the cooldowns that it named is in force

  # Guards against a leaving server that is taken for a serving one, and the other way round.
  Scenario Outline: An answer of <status> with the header <header>
    When a server that serves answers <status> with the header "<header>"
    Then it may get <which> requests

    Examples:
      | status | header                            | which |
      | 200    | Server-Leaving: 1                 | no    |
      | 200    | server-leaving:  1                | no    |
      | 503    | Server-Leaving: 1                 | no    |
      | 500    | Server-Leaving: 1                 | no    |
      | 200    | Server-Leaving: 0                 | more  |
      | 200    | Server-Leaving: 1.5               | more  |
      | 200    | Server-Leaving: yes               | more  |
      | 200    | Server-Leaving:                   | more  |
      | 200    | Server-Leaving: 99999999999999999 | more  |
      | 200    | X-Other: 1                        | more  |
      | 421    | Server-Leaving: 1                 | more  |

  # Guards against a mark of leaving that is lost with the server's entry, or that outlives the process.
  Scenario: A server that is leaving loses its entry, has it back and starts again
    When a server that serves answers 200 with the header "Server-Leaving: 1"
    And its entry disappears and comes back
    Then it may get no requests
    When it starts again under its id
    Then it may get more requests
