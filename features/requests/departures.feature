Feature: An entry ends work for callers that have left

  # Guards against completions that go on because their caller had sent them behind another one on the same
  # connection, of whose end their responses are not told.
  Scenario Outline: A caller with three completions on one connection <leaves>
    Given an entry's listener for callers
    When a caller sends 3 completions on one connection, and <leaves>
    Then all of them are given up within 500 ms

    Examples:
      | leaves                |
      | closes its connection |
      | resets its connection |
      | ends its side         |
