Feature: Faults of the link to the platform
  The platform client connects through a proxy that simulates an unreliable network link.

  Background:
    Given a platform stand-in and a client of it through the proxy

  Scenario: a cut of the way back
    A one-way partition drops the responses. Once the link is restored, the writer must learn that
    its write took effect.
    Given the proxy cuts the way to the source
    When object "m" is written from version 0 with nonce "n1"
    Then the write's outcome is unknown
    When the proxy passes everything again
    And object "m" is written from version 0 with nonce "n1"
    Then the write was written with nonce "n1"
    And the platform's journal shows 1 write of "m"

  Scenario: a watch whose answer fell into a cut
    A connection that has lost data must be closed, so that the watch is repeated and the change is
    not missed.
    Given a watch loop over all kinds
    And the proxy cuts the way to the source
    When object "m" changes at the platform and the proxy swallows the news
    And the proxy passes everything again
    Then the watch loop reports a failure within 2000 ms
    And the watch loop has seen the newest "m"

  Scenario: idle connections that went silent together
    If idle connections die without being closed, at most one call may run into its timeout; later
    calls must use new connections.
    Given 6 calls at once have left their connections open
    And the proxy keeps back everything on the connections open now
    When one call gets no answer
    Then 6 further calls at once are all answered

  Scenario: a cut of the way there
    Given the proxy cuts the way to the target
    When object "m" is written from version 0 with nonce "n1"
    Then the write's outcome is unknown
    And the platform's journal shows 0 writes of "m"

  Scenario: the proxy is steered by HTTP
    Given the proxy's control route is told '{ "cut": "both" }'
    When object "m" is written from version 0 with nonce "n1"
    Then the write's outcome is unknown
    And the proxy's control route counts swallowed bytes

  Scenario: no connection can be made
    When the proxy refuses new connections
    And object "m" is written from version 0 with nonce "n1"
    Then the write failed as platformUnavailable

  Scenario Outline: the connection breaks after the request was delivered
    When the proxy breaks the next connection after <bytes> bytes of its answer
    And object "m" is written from version 0 with nonce "n1"
    Then the write was written with nonce "n1"
    And the platform's journal shows 1 write of "m"

    Examples:
      | bytes |
      | 0     |
      | 60    |

  Scenario: a write overtaken by its own repeat
    A write delayed in the network arrives after its retry, which was sent on another connection. It
    must not take effect again.
    Given the proxy holds what the next connection sends
    When object "m" is written from version 0 with nonce "n1"
    Then the write was written with nonce "n1"
    When the proxy releases what it holds and the platform has counted 2 writes
    Then the platform's journal shows 1 write of "m"

  Scenario: a slow and narrow link
    Data must arrive complete and in order, and no faster than the link's bandwidth permits.
    Given the proxy delays by 20 ms each way and passes 2000000 bytes a second
    When an object of 300000 bytes is written and read back
    Then it is the same and took at least 300 ms

  Scenario: a reset that meets a closing half
    Node can't reset a socket whose sending half is being closed and leaks its handle, so that the
    other side would never see the connection closed.
    When a connection ends its sending half and is reset at once
    Then the other side sees it closed within 2000 ms
