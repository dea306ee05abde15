Feature: No backend server works on for a caller that has left

  # Guards against requests that go on at their servers because their gateway does not notice, in some
  # state or for some way to leave, that the caller has left.
  Scenario Outline: Callers <leave> in every state of their requests, at a gateway that reaches servers <how>
    Given a site with slow servers, and a gateway that reaches them <how>
    When callers <leave> whose requests are in these states
      | waits for the answer                       |
      | is the second on its connection            |
      | was refused by one server                  |
      | was refused by one engine                  |
      | has sent half of its body                  |
      | waits for the head of a stream             |
      | waits for the first event                  |
      | receives events                            |
      | does not read its events                   |
      | is behind another stream on its connection |
      | is behind two others on its connection     |
    Then within 500 ms no server works on any of them, and no more have reached one

    Examples:
      | leave                  | how                  |
      | close their connection | itself               |
      | reset their connection | itself               |
      | end their side         | itself               |
      | close their connection | over another gateway |
      | reset their connection | over another gateway |
      | end their side         | over another gateway |

  # Guards against logs that don't tell a request that was sent late from one that was delivered late.
  Scenario: A caller leaves whose request has no answer
    Given a site with slow servers, and a gateway that reaches them itself
    When callers close their connection whose requests are in these states
      | waits for the answer |
    Then the log tells for how long its attempt had no answer, how late the process was when it was sent, and when it was written

  # Guards against requests that a gateway reads late and sends on, though their callers have left.
  Scenario: A gateway is held up while callers come and leave
    Given a site with slow servers, and a gateway that reaches them itself
    When the gateway stands still for 800 ms, in which 20 callers ask and leave
    Then at most 3 of their requests have reached a server 500 ms after it went on
    And the log tells that the gateway used little processor time in its pause

  # Guards against requests that the kernel delivers after the gateway has given them up, as it does with all that is
  # not acknowledged when a connection is closed in the regular way.
  Scenario Outline: A link is out until <kind> were given up as <why>, at a gateway that reaches servers <how>
    Given a site with slow servers, and a gateway that reaches them <how>
    When a link is out while 8 callers send <kind>, and it is restored after <why>
    Then their requests had been sent, and none reaches a server from then on

    Examples:
      | kind    | why                    | how                  |
      | lookups | callers have left      | itself               |
      | calls   | callers have left      | itself               |
      | streams | callers have left      | itself               |
      | lookups | deadlines have passed  | itself               |
      | calls   | deadlines have passed  | itself               |
      | streams | deadlines have passed  | itself               |
      | lookups | others have taken over | itself               |
      | streams | others have taken over | itself               |
      | lookups | callers have left      | over another gateway |
      | calls   | callers have left      | over another gateway |
      | streams | callers have left      | over another gateway |
      | lookups | deadlines have passed  | over another gateway |
      | streams | deadlines have passed  | over another gateway |

  # Guards against a gateway that handles older events first after it was held up, and sends requests again or for
  # another gateway although their callers have left.
  Scenario Outline: A gateway is held up while <requests> are refused, repeated or relayed and their callers leave
    Given a site with slow servers, and a gateway that reaches them <how>
    When <held> stands still while <requests> of 60 callers that leave are under way
    Then none of their requests is sent or reaches a server after it went on

    Examples:
      | requests | held              | how                  |
      | streams  | the other gateway | over another gateway |
      | lookups  | the gateway       | itself               |
      | lookups  | the gateway       | over another gateway |
      | lookups  | the other gateway | over another gateway |
      | streams  | the gateway       | itself               |

  # Guards against a gateway that, once it has begun to send many requests, sends all of them before it reads who has left.
  Scenario Outline: A gateway is held up while it sends <requests>, and their callers leave, <held> to servers <how>
    Given a site with slow servers, and a gateway that reaches them <how>
    When <held> stands still as it begins to send <requests> of 400 callers that leave
    Then at most 3 of their requests reach a server after it went on

    Examples:
      | requests | held              | how                  |
      | lookups  | the gateway       | itself               |
      | calls    | the gateway       | itself               |
      | lookups  | the gateway       | over another gateway |
      | lookups  | the other gateway | over another gateway |
      | calls    | the other gateway | over another gateway |

  # Guards against a process with too little processor time that takes in new requests first, so that servers work on
  # for callers whose leaving it has not looked at.
  Scenario Outline: A gateway with a fifth of a core gets <rate> requests a second from callers that leave
    Given a site with slow servers, and a gateway that reaches them itself
    When the gateway has a fifth of a core, and <rate> callers a second ask and leave for 4 s
    Then at most a quarter of the runs go on for more than 500 ms after their callers have left
    And at most 5 requests reach a server more than 500 ms after their callers have left

    Examples:
      | rate |
      | 30   |

    @known-red
    Examples:
      | rate |
      | 300  |
