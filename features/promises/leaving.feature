Feature: A backend server that is leaving gets no new work

  An operator takes a backend server out of service. Its machine is switched off some seconds later;
  a request that is sent there after that is lost. The servers' own journals judge: they themselves
  go on taking whatever they are sent.

  # The operator marks the server through one entry. The platform's list shows the mark to the others
  # only minutes later, so that they would go on sending.
  Scenario: The platform's list lags behind
    Given 3 entries under load before 2 engines and 2 plain services
    And the platform's list of instances lags by a minute
    When an engine and a service are marked as leaving through one entry
    Then neither gets a request later than 3000 ms after the mark, while every entry goes on serving

  # One entry is cut off from the platform, and the list changes. Callers still reach the entry, and
  # it would send them to a server that is gone.
  Scenario: One entry is cut off from the platform
    Given 3 entries under load before 2 engines and 2 plain services
    And one of the entries is cut off from the platform
    When an engine and a service are marked as leaving in the platform's list
    Then neither gets a request later than 3000 ms after the mark, while every entry goes on serving

  # One entry stands still while the servers are marked; callers go on asking it. It wakes as if
  # nothing had happened, with a list of before and their requests waiting at its door.
  Scenario: One entry is frozen and wakes
    Given 3 entries under load before 2 engines and 2 plain services
    And one of the entries is frozen
    When an engine and a service are marked as leaving in the platform's list
    And the frozen entry wakes 4000 ms later
    Then neither gets a request later than 3000 ms after the mark, while every entry goes on serving
