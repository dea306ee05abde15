Feature: The memory of replicas

  # Guards against a request that makes every engine crash that it is sent to, one after the other.
  Scenario Outline: A request with a prompt of <prompt> and an output of <output> tokens, where a replica holds 1000
    Given a site with 2 engines that hold 1000 tokens, and a gateway
    When a stream with a prompt of <prompt> and an output of <output> tokens is asked for
    Then the answer has the status <status>
    And <runs> engines have run it

    Examples:
      | prompt | output | status | runs |
      | 600    | 400    | 200    | 1    |
      | 600    | 401    | 413    | 0    |
      | 1001   | 0      | 413    | 0    |
