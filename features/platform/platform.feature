Feature: The platform's objects
  What is kept lives in the platform alone. Its answers may be lost, late or old, and it may be
  away; what an entry is told of its own writes must be true all the same.

  Background:
    Given a platform stand-in and a client of it

  Scenario: two writers of one version
    Two operators change the same object at once. One sees their change in force, the other is
    told which version won.
    When two writes of object "m" from version 0 are made at once
    Then one write was written and the other conflicts with it

  Scenario: an answer lost after the effect
    The platform makes the change and its answer is lost. Without the nonce the writer would take
    its own change for somebody else's and give up, or make it twice.
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
    A slow platform holds a write. Its writer hears nothing and sends it again, which succeeds, and
    goes on. Then the first one goes through at last. It must change nothing.
    Given the platform holds the next 1 writes
    When object "m" is written from version 0 with nonce "n1"
    Then the write was written with nonce "n1"
    When another writer changes object "m"
    And the platform releases what it holds, after which "probe" is written
    Then the platform's journal shows 2 writes of "m"

  Scenario: a write that is still under way when its writer asks how it ended
    Every sending of a write is held. Its writer may not be told that it failed, for it takes
    effect afterwards. The same write, made again, tells how it ended.
    Given the platform holds the next 3 writes
    When object "m" is written from version 0 with nonce "n1"
    Then the write's outcome is unknown
    When the platform releases what it holds, after which "probe" is written
    And object "m" is written from version 0 with nonce "n1"
    Then the write was written with nonce "n1"
    And the platform's journal shows 1 write of "m"

  Scenario: what is said of a write is true under every order of events
    Sendings take effect at any time or never, answers are lost, and others write in between.
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
    An entry watches while the platform goes away. Changes made meanwhile must reach it once the
    platform is back.
    Given a watch loop over all kinds
    When the platform cuts every connection
    Then the watch loop reports a failure
    When object "m" changes at the platform and the platform is well again
    Then the watch loop has seen the newest "m"

  Scenario: a watch that was sent before the platform fell silent
    A watch waits when the platform falls silent, and its connection brings nothing any more. The
    platform is back, other calls of the entry learn that at once, and the watch goes on waiting to
    its end: callers are served by a configuration that was replaced seconds ago.
    Given a watch loop over all kinds
    And its watch waits
    When the platform falls silent and object "m" changes
    And another call gets no answer until the platform speaks again
    Then the watch loop has the newest "m" within 1000 ms of the next answered call

  Scenario: a watch loop that stays away after failures when the platform is back
    The longer an outage, the longer the loop stays away between two tries. Another call is answered
    meanwhile; without its word the loop sleeps on, and news waits for it.
    Given a watch loop over all kinds whose waits are the longest
    When the platform cuts every connection until the watch loop has failed 4 times
    And object "m" changes at the platform and the platform is well again
    Then the watch loop has the newest "m" within 1000 ms of the next answered call

  Scenario: a watch that is told when to come back
    Given a watch loop whose first call is refused for 300 ms
    Then the watch loop calls again, and no sooner

  Scenario: a watch that is answered from an old copy
    The platform fails over to a copy that lacks the last changes, and an entry that has seen them
    asks it. Taking the answer would put an older configuration in force again.
    Given object "m" changed at the platform and the platform answers from its copy of now
    When a watch loop starts that has seen a later revision
    Then the watch loop reports a failure
    And the watch loop was given nothing
    When object "m" changes at the platform until it is later and answers are current again
    Then the watch loop has seen the newest "m"

  Scenario: the instance list lags behind other kinds
    An instance and then a model change; watchers hear of the model first. The instance must not
    be lost to a watcher that has gone past the revision at which it was written.
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
    An entry stops while the platform is silent. The calls that wait end without an answer, which is
    no reason to open connections anew: a rejection that nobody handles would end the process.
    When the platform falls silent and object "m" changes
    And the client is closed while 3 calls wait
    Then the calls have failed and no rejection was left unhandled

  Scenario: back-off is bounded
    Then waits between attempts are never longer than their doubled or greatest bound
