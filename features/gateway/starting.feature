Feature: A gateway starts from compiled code

  Scenario: The code is compiled under the options that the gateway runs with
    After a loss of power all callers wait until the gateways have started again. V8 refuses code
    that was compiled under other options, without a word, and every start compiles all of it anew.
    When the gateway is built as the deploy file says
    Then V8 takes its compiled code under the options of the deploy file
    And V8 refuses it under other options of the heap
