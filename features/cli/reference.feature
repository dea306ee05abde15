Feature: The reference pages say what the code does

  # An operator looks up an error, a setting or a log event by its name. A page that was not changed
  # with the code sends them the wrong way at the worst moment.

  Scenario: The committed reference pages are what the code renders
    When the reference pages are rendered
    Then each reference page stands in the repository word for word

  Scenario: Log events are numbered once
    Then no two log events of the catalogue share a number

  Scenario: Exit codes are numbered once
    Then no two exits share a code
