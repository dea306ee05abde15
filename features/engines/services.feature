Feature: The service stand-in counts what ran, whatever its caller saw

  # A rigger is shown on site twice, or not at all. The connection broke around a check-in, before
  # it ran or after; its caller can't tell which, and the journal is how a test can.
  Scenario Outline: A check-in whose connection suffers <fault>
    Given a service stand-in whose next call has the fault <fault>
    When a check-in is posted to the service stand-in
    Then the check-in has <seen> and ran <runs> times

    Examples:
      | fault          | seen         | runs |
      | resetBeforeRun | no answer    | 0    |
      | resetAfterRun  | no answer    | 1    |
      | truncate       | no answer    | 1    |
      | hangAfterRun   | no answer    | 1    |
      | none           | an answer    | 1    |

  Scenario: Large bodies are streamed both ways unchanged
    Given a service stand-in whose next call has the fault none
    When 3000000 bytes are downloaded from the service stand-in and uploaded again
    Then the uploaded bytes have the hash of the downloaded ones
