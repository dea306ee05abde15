Feature: What an entry holds for callers that read nothing

  The entry buffers a bounded number of bytes for a caller that reads nothing, and applies
  backpressure to the backend server beyond that.

  Background:
    Given an entry before two replicas and two service instances
    And its backend servers send 8 megabytes in each answer

  Scenario Outline: From 6 to 24 callers of <kind> that read nothing
    # An entry must not run out of memory when callers stop reading: four times as many callers may
    # cost at most four times as many bounded buffers.
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
