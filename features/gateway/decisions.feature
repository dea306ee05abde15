Feature: Decisions of a gateway, driven without sockets

  Scenario: A stream is cut anywhere and goes on
    The connection may end at any byte, and the next run may repeat events. The caller gets each
    event once and in order, and never half of one.
    When 300 random streams are cut at random bytes and gone on with
    Then each comes out as it would have uncut

  Scenario: Repeats of all gateways together stay within the operator's bound
    An overload that makes many requests be sent again must not be multiplied by the repeats.
    When 9 gateways repeat whatever they may in 12 random loads
    Then no window of 10000 ms has more repeats than the bound allows

  Scenario: Entries that vanish around an outage of the store count for a while
    Given a fleet of 3 backend servers
    When the store returns without them and brings 2 back in time
    Then all 3 count until then, and 2 afterwards
