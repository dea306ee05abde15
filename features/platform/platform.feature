Feature: The platform's objects
  Responses of the platform may be lost, delayed or stale, and the platform may be unavailable. The
  write outcomes reported to an entry must be correct nevertheless.

  Background:
    Given a platform stand-in and a client of it

  Scenario: two writers of one version
    Of two concurrent writes one must succeed; the other must get a conflict with the winning
    version.
    When two writes of object "m" from version 0 are made at once
    Then one write was written and the other conflicts with it

  Scenario: an answer lost after the effect
    Without the nonce, a writer whose response is lost would mistake its own change for a conflict
    or apply it twice.
    Given the platform loses the answer to the next write after its effect
    When object "m" is written from version 0 with nonce "n1"
    Then the write was written with nonce "n1"
    And the platform's journal shows 1 write of "m"

  Scenario: a batch whose answer is lost
    Given the platform loses the answer to the next write after its effect
    When objects "a" and "b" are written in one batch
    Then both writes of the batch were written
    And the platform's journal shows 1 write of "a"

  Scenario: a write that takes effect after its writer gave up on it
    A delayed write that is processed after its retry has succeeded must not change the object.
    Given the platform holds the next 1 writes
    When object "m" is written from version 0 with nonce "n1"
    Then the write was written with nonce "n1"
    When another writer changes object "m"
    And the platform releases what it holds, after which "probe" is written
    Then the platform's journal shows 2 writes of "m"

  Scenario: a write that is still under way when its writer asks how it ended
    A write whose attempts are all delayed must not be reported as failed, as it takes effect later.
    Repeating it must return its outcome.
    Given the platform holds the next 3 writes
    When object "m" is written from version 0 with nonce "n1"
    Then the write's outcome is unknown
    When the platform releases what it holds, after which "probe" is written
    And object "m" is written from version 0 with nonce "n1"
    Then the write was written with nonce "n1"
    And the platform's journal shows 1 write of "m"

  Scenario: what is said of a write is true under every order of events
    Attempts take effect at any time or never, responses are lost, and others write in between.
    Then over 500 random orders of events no outcome of a settled write is false

  Scenario: an outage
    When the platform refuses all calls
    And object "m" is written from version 0 with nonce "n1"
    Then the write failed as platformUnavailable, to be tried again after 1000 ms
    And the platform's journal shows 0 writes of "m"

  Scenario: the platform stand-in is steered by HTTP during its outage
    Given object "m" is written from version 0 with nonce "n1"
    When the platform's control route is told '{ "outage": "hang" }'
    And object "m" is written from version 1 with nonce "n2"
    Then the write's outcome is unknown
    And the platform's control routes still show 1 write of "m" and 4 write calls
    And the platform's control route refuses '{ "outage": "strike" }'

  Scenario: too many calls
    Given the platform takes 1 write a second
    When object "a" is written from version 0 with nonce "n1"
    And object "b" is written from version 0 with nonce "n2"
    Then the write failed as platformUnavailable, to be tried again after 1000 ms
    And the platform's journal shows 0 writes of "b"

  Scenario: a value that is too large
    When a value of 1048577 bytes is written to object "m"
    Then the write failed as objectInvalid
    And the platform itself refuses a value of that size with status 413

  Scenario: a watch through an outage
    Changes made during an outage must reach a watching entry once the platform is back.
    Given a watch loop over all kinds
    When the platform cuts every connection
    Then the watch loop reports a failure
    When object "m" changes at the platform and the platform is well again
    Then the watch loop has seen the newest "m"

  Scenario: a watch that was sent before the platform fell silent
    Guards against a stale configuration: once another call succeeds after an outage, a watch on a
    dead connection must be repeated instead of waiting for its timeout.
    Given a watch loop over all kinds
    And its watch waits
    When the platform falls silent and object "m" changes
    And another call gets no answer until the platform speaks again
    Then the watch loop has the newest "m" within 1000 ms of the next answered call

  Scenario: a watch loop that stays away after failures when the platform is back
    A watch loop in a long back-off must try again as soon as another call succeeds.
    Given a watch loop over all kinds whose waits are the longest
    When the platform cuts every connection until the watch loop has failed 4 times
    And object "m" changes at the platform and the platform is well again
    Then the watch loop has the newest "m" within 1000 ms of the next answered call

  Scenario: a watch that is told when to come back
    Given a watch loop whose first call is refused for 300 ms
    Then the watch loop calls again, and no sooner

  Scenario: a watch that is answered from an old copy
    After a failover to a stale copy, an entry that has seen later changes must not return to an
    older configuration.
    Given object "m" changed at the platform and the platform answers from its copy of now
    When a watch loop starts that has seen a later revision
    Then the watch loop reports a failure
    And the watch loop was given nothing
    When object "m" changes at the platform until it is later and answers are current again
    Then the watch loop has seen the newest "m"

  Scenario: the instance list lags behind other kinds
    A delayed instance change must reach a watcher that has already seen a later revision of another
    kind.
    Given a watch loop over all kinds
    And the platform's list of instances lags by 200 ms
    When an instance "i" and then a model "m" change at the platform
    Then the watch loop has seen "m" before "i"

  Scenario: a watch misses nothing
    Then over 12 random runs of changes with lag the watch loop ends with the platform's state

  Scenario: stopping a watch that waits
    Given a watch loop over all kinds
    When the watch loop is stopped while its watch waits
    Then it stopped at once

  Scenario: a client is closed while calls wait
    Pending calls that end when the client is closed must not open new connections: an unhandled
    rejection would terminate the process.
    When the platform falls silent and object "m" changes
    And the client is closed while 3 calls wait
    Then the calls have failed and no rejection was left unhandled

  Scenario: back-off is bounded
    Then waits between attempts are never longer than their doubled or greatest bound
