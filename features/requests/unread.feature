Feature: What an entry holds for callers that read nothing

  A caller that is out of reach keeps its connection and reads nothing. What the entry has read for
  it and can't hand on fills the entry's memory. It is bounded for each caller, and what a backend
  server has to say beyond that stays there.

  Background:
    Given an entry before two replicas and two service instances
    And its backend servers have 8 megabytes to say in each answer

  Scenario Outline: From 6 to 24 callers of <kind> that read nothing
    # Entries with a few dozen megabytes to spare die one after the other: phones went out of reach
    # in the middle of long answers, and the entries read on for them. Four times as many such
    # callers must cost four times as many bounded buffers, and no more.
    When 6 callers ask for <kind> and read nothing, until nothing moves any more
    Then each of the 6 callers of <kind> is held up, and the entry held no more than their buffers
    When 18 callers ask for <kind> and read nothing, until nothing moves any more
    Then each of the 24 callers of <kind> is held up, and the entry held no more than their buffers
    And the 18 callers that came later cost no more than the buffers of 18 <kind>
    When the callers read on
    Then each has the whole answer, and the entry holds nothing

    Examples:
      | kind      |
      | streams   |
      | downloads |
