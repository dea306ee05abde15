Feature: What gateways know of the store has a proven age

  Scenario: The store is silent for a while, and a change is acknowledged at its return
    # Operators saw a version acknowledged, and more than two seconds later requests were still handled
    # by the one before. The store had been silent: it accepted calls and answered none, those that
    # waited then got no answer after its return either. Each gateway's watch of the configuration hung
    # until its own longest wait was over, while news of the backend servers came in on another call.
    # No peer could help, since all of them waited.
    Given a site with 1 plain server and 3 ready gateways
    When the store is silent for 3000 ms
    And the operator takes the key away as the store returns
    Then every gateway refuses with 401 within 2000 ms of the acknowledgement
