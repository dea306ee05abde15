Feature: The platform's names stay in its adapter

  Scenario: No module of the product names a header, field or word of the platform
    A name of the platform inside the product would have to change with the platform, and readers of
    the product would meet words that its glossary does not have.
    When the modules of the product are read
    Then none of them names a header of the platform
    And none of them imports the adapter

  Scenario: The adapter keeps no time and draws no chance
    When the modules of the adapter are read
    Then none of them sets a timer, reads a clock or draws a random number
