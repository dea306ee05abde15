Feature: A broken stream resumes at another replica, with every event once and in order

  Scenario: An engine breaks a stream off within an event
    # Another replica continues after the last whole event, in the same response.
    Given a site with 4 engines and a ready gateway with 2 open groups
    And each engine that serves now cuts its streams after 3 events
    And a caller begins a stream
    When the cutting engines serve well again
    Then the caller gets 10 events in order in one whole answer
    And the stream went on after event 3

  Scenario: An engine goes silent in the middle of a stream
    # A stalled stream is resumed at another replica before its caller disconnects.
    Given a site with 4 engines and a ready gateway with 2 open groups
    And a caller begins a stream
    When the engine of that stream goes silent
    Then the caller gets 10 events in order in one whole answer

  Scenario: A caller goes on where it was
    # A caller resumes a stream by the id of the last event that it received.
    Given a site with 2 engines and a ready gateway with 1 open group
    When a caller asks for the stream after event 7
    Then the caller gets events 8 to 10

  Scenario: A caller leaves in the middle of a stream
    # Guards against engines that keep generating for a disconnected caller.
    Given a site with 2 engines and a ready gateway with 1 open group
    And a caller begins a stream
    When the caller leaves
    Then no request is in flight at the gateway

  Scenario: A gateway is killed while it relays a stream without a length
    # Guards against a close by the system that looks like the end of a stream.
    Given a site with 2 engines and a ready gateway with 1 open group
    And the engines answer without a length
    And a caller begins a stream
    When the gateway is killed after 3 events
    Then the caller sees that the stream is not whole
