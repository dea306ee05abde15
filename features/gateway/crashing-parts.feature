Feature: Requests are refused for a part of their prompts that crashes engines

  # Guards against one part of many different prompts that crashes one engine after the other.
  Scenario Outline: Prompts with one part in common crash the engines that answer them, <how>
    Given a site with 24 engines that crash under one part, <how>, and 3 ready gateways
    When sound requests come all the time, 40 a second
    And different requests with that part come every 150 ms for 13 s, at one gateway after the other
    Then at most 3 of them reached engines later than 3000 ms after the fifth crash
    And from 6000 ms after it on at least half as many sound requests were served at once as before
    And a new request with the part is refused as not run, with a time to come back, at each gateway

    Examples:
      | how                      |
      | after the head           |
      | after some events        |
      | within an unframed event |
      | after unframed events    |
