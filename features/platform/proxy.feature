Feature: Faults of the link to the platform
  The same client, through the proxy that stands for a poor link.

  Background:
    Given a platform stand-in and a client of it through the proxy

  Scenario: a cut of the way back
    A partition lets calls through and swallows the answers. The write takes effect and its
    writer can't know; when the link is back it must learn the truth.
    Given the proxy cuts the way to the source
    When object "m" is written from version 0 with nonce "n1"
    Then the write's outcome is unknown
    When the proxy passes everything again
    And object "m" is written from version 0 with nonce "n1"
    Then the write was written with nonce "n1"
    And the platform's journal shows 1 write of "m"

  Scenario: a watch whose answer fell into a cut
    The answer to a waiting watch is swallowed and then the link is back. A connection with a hole
    in its stream must end, so that the watch is made again and the change is not missed.
    Given a watch loop over all kinds
    And the proxy cuts the way to the source
    When object "m" changes at the platform and the proxy swallows the news
    And the proxy passes everything again
    Then the watch loop reports a failure within 2000 ms
    And the watch loop has seen the newest "m"

  Scenario: idle connections that went silent together
    Calls have left connections open when the link loses its memory of them all: nothing comes
    back on them any more, and new ones work. Each kept connection would cost another call its
    whole timeout, and a claim its answer, for as long as there are any.
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
    The first sending is stuck in the network and its repeat, on another connection, arrives
    first. The first one arrives when its writer has long gone on.
    Given the proxy holds what the next connection sends
    When object "m" is written from version 0 with nonce "n1"
    Then the write was written with nonce "n1"
    When the proxy releases what it holds and the platform has counted 2 writes
    Then the platform's journal shows 1 write of "m"

  Scenario: a slow and narrow link
    Bytes must arrive whole and in order, and not sooner than the link lets them.
    Given the proxy delays by 20 ms each way and passes 2000000 bytes a second
    When an object of 300000 bytes is written and read back
    Then it is the same and took at least 300 ms

  Scenario: a reset that meets a closing half
    A test resets a connection whose sending half is just being closed. Node refuses that and loses
    the handle: the other side would hear nothing and wait until the test's process ended.
    When a connection ends its sending half and is reset at once
    Then the other side sees it closed within 2000 ms
