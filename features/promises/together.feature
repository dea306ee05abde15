Feature: Two failures together

  Failures don't wait for each other. Each scenario lets a second one come while the first lasts, and
  judges by what the callers got and by the journals of the platform, the engines and the service.

  Scenario: a member dies while the platform is away
    The platform hangs, so that no plan can change. Then a member of the only replica dies. Callers
    must be told at once that their requests were not run, though the stored plan still says that the
    replica is whole. When the platform is back and the engine has restarted, they are served again.
    Given two failures: 1 entry before 1 replica of 2 engines in each of 1 fabric domain
    When the platform hangs and then a member of the replica is killed
    Then callers are told of their streams that they were not run
    And no engine has begun an attempt since the first such answer
    When the member is back and the platform answers again
    Then callers get their whole streamed answers at every entry

  Scenario: the owner of a fabric domain is frozen while an operator changes the model
    The owner freezes beyond its lease. An operator asks for a second replica through another entry,
    which takes the domain over and forms it. Then the old owner wakes up and believes for a moment
    that the domain is its own. The engines ignore fencing numbers, so that nothing but the owner
    itself keeps its old orders back.
    Given two failures: 2 entries before 1 replica of 4 engines that ignore fencing numbers
    When the owner of the fabric domain is frozen and an operator asks for 2 replicas elsewhere
    Then the other entry takes the domain over and 2 replicas are whole
    When the frozen owner wakes up and has the new configuration in force
    Then no engine has obeyed an old order and no instance was in two replicas
    And callers get their whole streamed answers at every entry

  Scenario Outline: an entry is killed when the answer to its <write> of a once-call is lost
    The entry writes the record of a check-in and the platform's answer is lost. Before it can ask
    again it is killed. The caller, who knows nothing, tries the same key at another entry. The
    check-in runs at most once, and an answer that says it was made is the answer of that one run.
    Given two failures: 2 entries before 1 replica of 2 engines in each of 1 fabric domain
    When the answer to an entry's <write> of a check-in is lost and the entry is killed
    And the caller sends the check-in again through the other entry until it has a last word
    Then the check-in has run at most once and the last word is <word>

    Examples:
      | write  | word                  |
      | claim  | that of the journal   |
      | result | the answer of its run |

  Scenario: a fabric domain goes dark while the platform's list lags
    One of two fabric domains goes dark and the platform goes on listing its engines as live, as its
    list always does for a while. Callers must get whole answers from the other domain.
    Given two failures: 2 entries before 1 replica of 2 engines in each of 2 fabric domains
    When the platform's list lags by 60 seconds and a fabric domain goes dark
    Then within 5 seconds callers get only whole streamed answers from the other domain
    When the fabric domain is reached again
    Then callers get their whole streamed answers at every entry

  Scenario: an entry is stopped in good order while it is cut from the platform
    A rolling replacement stops an entry that can't reach the platform. The stream that it serves
    must still reach its end, and the entry must not wait for the platform for ever.
    Given two failures: 2 entries before 1 replica of 2 engines in each of 1 fabric domain
    When an entry is cut from the platform and stopped in the middle of a long stream
    Then the long stream arrives whole and the stopped entry ends with status 0 within 15 seconds
    And callers get their whole streamed answers at every entry

  Scenario: an entry is replaced while the platform answers from an old copy
    An operator's change is accepted. Then the platform fails over to an older copy of itself, and
    an entry is replaced. The new one must not come into service with the older configuration.
    Given two failures: 2 entries before 1 replica of 2 engines in each of 1 fabric domain
    When the platform answers from a copy older than an accepted change
    And an entry is killed and another one is started
    Then the new entry is never ready with a configuration older than the accepted one
