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

  # A part asks ten times a second for what follows from the fleet. Made anew each time it took most of a
  # gateway's time; kept after a change it would plan for servers that are gone.
  Scenario: What follows from a value is made anew with that value alone
    When what follows from two values is asked for with "a b", "a b", "a c", "a c" and "a b"
    Then it was made 3 times, and was each time what follows from the values asked with

  # Every gateway of a large fleet takes every change of every engine. Looking at all of them for each
  # one that had changed took more of a gateway's time the more engines there were.
  Scenario: Only what has changed of a large fleet is looked at
    Given a fleet of 1700 backend servers
    When one of them drains, one ends, and one says again what it has said before
    Then the fleet names just the two that are not what they were
    And once what vanished in an outage counts as gone the fleet names just that

  Scenario: Entries that vanish around an outage of the store count for a while
    Given a fleet of 3 backend servers
    When the store returns without them and brings 2 back in time
    Then all 3 count until then, and 2 afterwards

  Scenario: A stop begins only what ends before its grace does
    A request that takes up to 1.25 times its expected time (twice where it may run once), or until its
    answer is due, must never be under way when the grace is over; whatever is surely finished
    in time must not be refused.
    When 500 random requests arrive at random moments of a stop
    Then none that is begun outlasts the grace
    And none is refused whose answer is due before the grace is over

  Scenario: What others took lately tells what a request will take
    When a stream estimated at 1000 ms took 4000 ms
    Then the next is expected to take 4 times its estimate, and 2.5 times 10000 ms later
    And an estimate without the most output tokens is infinite
