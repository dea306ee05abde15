Feature: Every planned stop is graceful

  # The operators replace all entries in the middle of the day. Callers know that they may go
  # elsewhere when they are told that an entry stops, or when nobody listens; whatever an entry has
  # taken on it must finish.
  @known-red
  Scenario: All entries are replaced one after the other under load
    Given 3 entries with callers that go elsewhere only when they are told to
    When each entry is replaced by a new one, with long answers under way at it
    Then no answer was cut off, and every old entry has exited with 0

  # A caller on a slow line has the beginning of a long answer when its entry is replaced. The entry
  # has handed all of the answer to the connection and took that for sent: at the end of its grace it
  # closed the connection as idle, and the caller got a broken answer of a check-in that had run.
  Scenario: An entry stops while a caller takes a long answer slowly
    Given an entry whose caller has taken only the beginning of a long answer
    When that entry is told to stop and takes no more connections
    And the caller takes the rest of its answer
    Then the long answer is whole, and the entry has exited with 0

  # The grace of a stop ends while a call is still at its backend server. The entry closed the caller's
  # connection without an answer, so that a caller could not tell whether it may send the call again; and
  # its log said that the caller had left, so that operators looked for the cause at the caller.
  Scenario Outline: The grace of a stop ends before a call that <kind> is answered
    Given an entry with a grace of 500 ms, and a call that <kind> and takes 5000 ms at its plain server
    When that entry is told to stop, and exits with 0
    Then the caller is told that the call may have run, and the entry's log says that the stop did it

    Examples:
      | kind            |
      | may be repeated |
      | may run once    |

  # The same with a completion, of which the caller has the beginning or nothing.
  Scenario Outline: The grace of a stop ends before a completion is answered, of which the caller has <part>
    Given an entry with a grace of 500 ms, and a completion of which the caller has <part>
    When that entry is told to stop, and exits with 0
    Then the caller is told that the answer <outcome>

    Examples:
      | part          | outcome      |
      | the beginning | is not whole |
      | nothing       | may have run |

  # Each answer of a stopping entry said that the connection closes. Node drops what is queued behind the
  # first such answer, so that a call behind another one on the connection ran and had no answer.
  Scenario: Two calls that may run once come one behind the other on a connection of a stopping entry
    Given an entry with a plain server that takes 300 ms for a call
    When that entry is told to stop, and two calls that may run once come at once on one connection
    Then each of them has a whole answer, or never ran

  # The platform is silent while an entry stops. The entry waited for it to take the domains that it
  # gives away, and took new requests all the while, long after the balancer's span: whoever stops it
  # by the sum of its two spans kills it with these requests in flight.
  Scenario: An entry that owns a domain stops while the platform is silent
    Given an entry that owns the domain of a whole replica
    When the platform falls silent and that entry is told to stop
    Then it takes no more requests within 2000 ms, and exits with 0

  # An operator takes one machine of a replica out of service while it streams. When the system says
  # that it is safe, the machine is switched off.
  Scenario: An instance of a replica is drained with long streams open
    Given 3 entries before 4 engines in 2 replicas, with long streams at both
    When an instance of a streaming replica is marked as leaving through one entry
    And it is killed as soon as an entry says that this is safe
    Then every stream of the drained replica was whole and had ended before the kill

  # The same with a plain service whose calls take a while.
  Scenario: A plain server is drained with calls in flight
    Given 3 entries before 2 plain servers that take 1500 ms for a call, with calls in flight
    When one of the plain servers is marked as leaving through one entry
    And that server is killed as soon as an entry says that this is safe
    Then every call in flight was answered, and the killed server had run some of them
