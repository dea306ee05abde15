Feature: Input is read before work begins

  # Guards against work that begins when only the data of a connection was read, and not yet its end.
  Scenario: Work is added
    Given work is added to the queue
    Then it begins once input was read twice

  # Guards against a batch of work that goes on although the process stood still within it.
  Scenario Outline: A batch of work is under way when the process <what>
    Given 5 pieces of work are added, each of which takes <each> ms
    When input was read twice
    Then <begun> of them have begun, and as many more after each time that input is read

    Examples:
      | what                         | each | begun |
      | stands still in each of them | 800  | 1     |
      | has little processor time    | 4    | 3     |

  # Guards against work that begins although much may have arrived while the process read, as when it stood still.
  Scenario: Reading takes long
    Given 5 pieces of work are added, each of which takes 0 ms
    When input was read, and again for 800 ms
    Then 0 of them have begun, and all after input was read once more

  # Guards against a process with so little processor time that it only reads.
  Scenario: Reading takes long each time
    Given 5 pieces of work are added, each of which takes 4 ms
    When input was read 6 times for 300 ms each
    Then all of them have begun

  # Guards against work that is never begun because another piece before it failed.
  Scenario: A piece of work fails
    Given work is added that fails, and more behind it
    When input was read three times
    Then the work behind it has begun
