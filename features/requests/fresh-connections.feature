Feature: Calls that must not be repeated and idle connections

  Scenario: A backend server closes an idle connection just as a call arrives on it
    A supervisor logs a check-in and is told that its outcome is unknown, though it never ran. The
    entry kept a connection from an earlier call; the backend server closed it as idle at the moment
    at which the next call was written to it. Nobody can tell that from a call that ran.

    Given a backend server that drops every connection on its second call
    When 5 calls that must not be repeated are sent to it one after the other
    Then each of them ran once and was answered
    When 5 calls that may be repeated are sent to it one after the other
    Then the backend server dropped at least one of these
