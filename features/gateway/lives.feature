Feature: An engine that starts again under its id begins a new life

  @known-red
  Scenario: A member of an open group starts again
    The engine's process ends and is back under its id a moment later, with nothing of before. Its
    entry never vanishes. Its group has lost a member: the head accepts requests that never move.
    Taking the new life for the old one would leave the group in service, or have the engine join it
    again behind the head's back.
    Given a site with 5 engines and a ready gateway with 2 open groups
    When a member of an open group starts again
    Then its former group is not open any more and 2 groups are open
    And the new life was never told to join its former group

  @known-red
  Scenario: A backend server starts again at another address
    The former process is cut off from the store and lives on. Connections to it are kept for the
    next request of its id; a caller would get an answer of a process that is gone for everyone else.
    Given a site with 1 plain server and a ready gateway
    And connections to it are kept
    When its id starts again at another address while the former process lives on
    Then no request reaches the former process once the gateway knows
