Feature: A stream goes on elsewhere, with every event once and in order

  Scenario: An engine breaks a stream off within an event
    The connection ends in the middle of the fourth event. The caller has whole events only; the rest
    comes from another replica, from the last whole one on, in the same answer.
    Given a site with 4 engines and a ready gateway with 2 open groups
    And each engine that serves now cuts its streams after 3 events
    And a caller begins a stream
    When the cutting engines serve well again
    Then the caller gets 10 events in order in one whole answer
    And the stream went on after event 3

  Scenario: An engine goes silent in the middle of a stream
    The head of a replica lost a member: it keeps its connections and nothing moves. The caller leaves
    after some seconds; the gateway moves the stream long before.
    Given a site with 4 engines and a ready gateway with 2 open groups
    And a caller begins a stream
    When the engine of that stream goes silent
    Then the caller gets 10 events in order in one whole answer

  Scenario: A caller goes on where it was
    A caller whose connection broke asks for the rest by the last event that it has.
    Given a site with 2 engines and a ready gateway with 1 open group
    When a caller asks for the stream after event 7
    Then the caller gets events 8 to 10

  Scenario: A caller leaves in the middle of a stream
    Nobody reads on, so the engine must not go on working: its connection is closed at once.
    Given a site with 2 engines and a ready gateway with 1 open group
    And a caller begins a stream
    When the caller leaves
    Then no request is in flight at the gateway
