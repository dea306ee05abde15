Feature: An engine that starts again under its id begins a new life

  Scenario: A member of an open group starts again
    The engine's process ends and is back under its id a moment later, with nothing of before. Its
    entry never vanishes. Its group has lost a member: the head accepts requests that never move.
    Taking the new life for the old one would leave the group in service, or have the engine join it
    again behind the head's back.
    Given a site with 5 engines and a ready gateway with 2 open groups
    When a member of an open group starts again
    Then its former group is not open any more and 2 groups are open
    And the new life was never told to join its former group

  Scenario: An idle engine starts again without its weights
    The order that brought weights to its host was carried out by its former life. Until it is given
    anew, the engine can't take the place of a member that is lost.
    Given a site with 5 engines and a ready gateway with 2 open groups
    And the idle engine has weights on its host
    When the idle engine starts again
    Then it has weights on its host again within 5000 ms

  Scenario: A backend server starts again at another address
    The former process is cut off from the store and lives on. Connections to it are kept for the
    next request of its id; a caller would get an answer of a process that is gone for everyone else.
    Given a site with 1 plain server and a ready gateway
    And connections to it are kept
    When its id starts again at another address while the former process lives on
    Then no request reaches the former process once the gateway knows

  Scenario: What was seen of a former life says nothing of the next
    # A server fails, stands still and has requests under way when its process ends. It is back under
    # its id a moment later. Held against the new life, all that would keep it out of service.
    Given a backend server that failed, stands still and has 5 requests under way
    When it starts again under its id
    Then it is chosen, and nothing counts against it
    And news of the 5 requests change nothing of that, nor does an older finding of a peer
    And once they have ended, its own failures and requests count

  Scenario: A new life has none of the models that its former one had
    Given an engine that was last ready in a replica of "small"
    When it is heard of again in the same life, and then in another
    Then its last model is "small" first, and then none

  Scenario: The silence of a former life says nothing of the next
    # Probes of a silent member are under way when its process is started again. Lost or slow by
    # their outcome, the new life would be left out of all replicas.
    Given a replica whose members are probed, one silent and one slow
    When both start again before the probes end
    Then neither is lost or slow

  Scenario: An order goes to one life
    Given a planned group whose member has started again, and says that it has joined the group
    Then the next plan takes the group apart, and no order before that forms it
    And a plan that names no lives is left as it is
