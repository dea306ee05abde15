Feature: A gateway starts from compiled code

  Scenario: The code is compiled under the options that the gateway runs with
    # V8 silently rejects a code cache that was built under other options, which makes every start slow.
    When the gateway is built as the deploy file says
    Then V8 takes its compiled code under the options of the deploy file
    And V8 refuses it under other options of the heap
