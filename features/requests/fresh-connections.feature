Feature: Calls that must not be repeated and idle connections

  Scenario: A backend server closes an idle connection just as a call arrives on it
    A call written to a kept connection that the backend server is closing as idle has an unknown
    outcome. A call that must not be repeated needs a connection of its own.

    Given a backend server that drops every connection on its second call
    When 5 calls that must not be repeated are sent to it one after the other
    Then each of them ran once and was answered
    When 5 calls that may be repeated are sent to it one after the other
    Then the backend server dropped at least one of these
