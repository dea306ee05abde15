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

  Scenario: What is full is left alone
    A replica with a full queue refuses at once what is sent to it, and each such sending uses up a
    repeat that a lost answer would have needed.
    Given a service whose targets take 36 requests, and a gateway that has been refused at one with 36
    Then it sends nothing to a target with 36, and sends to one with 35
    And after 10 seconds without a refusal it tries one with 40 again
    And a refusal at a target with free slots, or after a second, changes nothing
