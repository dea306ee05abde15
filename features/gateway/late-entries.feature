Feature: The entry of a process that has ended takes no engine out of service

  Scenario: An entry comes back while another engine holds its address
    # A delayed write leaves an entry of an engine's previous incarnation. A replica planned with it
    # would never form, and its members would serve nobody until the entry expires.
    Given a site with 5 engines and a ready gateway with 2 open groups
    And an entry of a previous incarnation reappears at the address of an engine
    And an order for it was answered by the engine that is there now
    When a member of an open group ends
    Then 2 groups are open again without it
    And at most 2 orders were sent to the previous incarnation
