Feature: The platform's names stay in its adapter

  Scenario: No module of the product names a header, field or word of the platform
    # Guards against platform names outside the adapter, which would tie the product to one platform.
    When the modules of the product are read
    Then none of them names a header of the platform
    And none of them imports the adapter

  Scenario: The adapter keeps no time and draws no chance
    When the modules of the adapter are read
    Then none of them sets a timer, reads a clock or draws a random number
