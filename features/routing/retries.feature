Feature: Retry decisions

  # Guards against reporting "not run" because the last attempt was not sent although an earlier one
  # may have run; a caller that repeats such a request would run it twice.
  Scenario: Never "not run" after an attempt that may have run
    Given random series of attempts that end badly
    Then no final answer says "not run" when any attempt may have run
    And no call that may not be repeated is retried after it may have run
    And no retry starts past the deadline

  # Guards against retry storms that keep an overloaded backend server overloaded.
  Scenario: Retries do not multiply an overload
    Given a backend server that refuses 10000 requests in 100 seconds
    Then the retries stay below 0.13 of the requests

  Scenario: An answer that broke off is resumed from where the caller is
    Given a completion that was cut after 17 tokens and lost on its second attempt
    Then both retries resume from token 17

  Scenario: A caller that has part of an answer is told that it is cut
    Given a completion that was cut after 17 tokens and can not be resumed
    Then the final answer is answerCut
