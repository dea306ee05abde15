Feature: The entry of a process that has ended takes no engine out of service

  Scenario: An entry comes back while another engine holds its address
    # An engine that was cut off from the store crashed there and started again. The last word of its
    # former life arrives late, and its entry stands beside that of the engine now at the address.
    # The gateway plans a replica with it: its other members join and wait for one who never will,
    # and serve nobody until the entry lapses, seconds later.
    Given a site with 5 engines and a ready gateway with 2 open groups
    And the entry of a former life comes back at the address of an engine
    And an order for it was answered by the engine that is there now
    When a member of an open group ends
    Then 2 groups are open again without it
    And at most 2 orders were sent to the former life
