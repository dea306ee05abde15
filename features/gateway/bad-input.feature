Feature: Counts and targets that can't be right, tested without a network

  # Guards against a token count that shortens the time in which a replica may begin its answer.
  Scenario Outline: A request names "<counts>" tokens
    When a request names "<counts>" tokens
    Then its prompt counts as <prompt> tokens and its answer as <output>

    Examples:
      | counts   | prompt | output |
      | 1460,80  | 1460   | 80     |
      |          | 0      | 0      |
      | 0,0      | 0      | 0      |
      | -5,-1    | 0      | 0      |
      | many,80  | 0      | 80     |
      | NaN,1e9  | 0      | 1000000000 |
      | 5        | 5      | 0      |

  # Guards against a server that counts as stalled as soon as a request has been sent to it.
  Scenario: A route's target is 0
    Then a plain response for a target of 0 ms may take 300 ms

  # Guards against a part of a single request or session that is tracked as if others had it too.
  Scenario Outline: A request names the parts "<header>" of its prompt
    When a request names the parts "<header>" of its prompt
    Then it may share "<shared>" with other requests

    Examples:
      | header              | shared |
      | aa:40,bb:60         | aa     |
      | aa:40,BB:60 , cc:9  | aa,bb  |
      | aa:40               |        |
      |                     |        |
      | ,,:40,aa,cc:9       | aa     |
      | a+b:4,xyz:4,0a:4,9  | 0a     |
