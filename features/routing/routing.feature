Feature: Routing decisions

  Rule: Every waiting request gets exactly one answer

    # Guards against requests that are never answered or are sent twice.
    Scenario: No routing ticket is lost or handed out twice
      Given 150 random histories of requests, ends, withdrawals and changing replicas
      Then each offered ticket was sent, refused, withdrawn or still waits, and only one of these
      And no queue was longer than its bound
      And nothing was sent to an excluded replica or past its deadline

    # Guards against a burst of retries when the only replica is replaced within a short time.
    Scenario: Requests outlast a short absence of the only replica, and no longer one
      Given a dispatcher whose model has no replica
      When a request waits 1500 ms and the replica comes back
      Then the request is sent
      When the replica is away for 2500 ms
      Then a waiting request is refused as noCapacity with a time to come back

    # Guards against failing an answer whose retry finds the other replica absent for a moment.
    Scenario: A retry outlasts a short absence of every replica that it may go to, and no longer one
      Given a dispatcher with two replicas
      When a retry that may not go to r0 arrives while r1 is away for 1500 ms
      Then the retry is sent to r1
      When a retry that may not go to r0 arrives while r1 is away for 2500 ms
      Then the retry is refused, and was not before 2000 ms
      And other requests were sent to r0 meanwhile

    # Guards against queueing a request until its deadline although it can't be met.
    Scenario: A request that can not be reached in time is refused at once
      Given a dispatcher whose only replica takes one request a second
      When 10 requests wait and one with a deadline in 5 seconds arrives
      Then the late one is refused as overloaded with a time to come back

    # Guards against reporting "not run" when an earlier attempt may have run.
    Scenario: A request that may have run is never refused as not run
      Given a dispatcher whose model has no replica
      When a request that may have run waits until it is refused
      Then its failure does not say that it was not run

    # Guards against requests to a replica that has refused one and said when to come back.
    Scenario: A replica that refused a request gets none until the time that it named
      Given a dispatcher with two replicas
      When one of them refuses a request and says to come back in 400 ms
      Then 20 requests within 399 ms go to the other one
      And after 400 ms the first one gets requests again

    # Guards against requests that wait for replicas that all rest for longer than the requests may wait.
    Scenario: All replicas have refused a request and said when to come back
      Given a dispatcher with two replicas
      When both of them refuse a request and say to come back in 3000 ms
      Then a request with a deadline in 2000 ms is refused at once
      And a request with a deadline in 9000 ms is sent after 3000 ms

  Rule: Workspaces and classes get their part

    # Guards against serving workspaces in order of arrival, where a burst of one delays all others.
    Scenario: A flooding workspace does not delay another's routing turn
      Given a dispatcher with 200 waiting requests of one workspace and 10 of another
      When 20 requests are sent
      Then 10 of those sent are of the other workspace

    Scenario: Weights divide the routing turns
      Given a dispatcher with 100 waiting requests each of workspaces with weight 1 and weight 3
      When 40 requests are sent
      Then between 29 and 31 of those sent are of the workspace with weight 3

    # Guards against starvation of batch requests while there are always gate requests queued.
    Scenario: Gate requests are routed first and batch requests do not starve
      Given a dispatcher with 200 waiting gate requests and 20 waiting batch requests
      When 110 requests are sent
      Then the first sent is a gate request
      And between 5 and 15 of those sent are batch requests

  Rule: The choice goes by estimated time to first token

    Scenario: A cached prompt prefix draws a request until its replica is busier than it saves
      Given two idle replicas, one of which was sent a prompt before
      Then the same prompt is routed to it again
      When that replica reports 4000 prompt tokens that wait
      Then the same prompt is routed to the other

    # Guards against routing by cached prefixes that were evicted or lost with a restart.
    Scenario: A gap in cache events or a new start drops the belief in a replica's cache
      Given a replica whose cache events said that it holds a prefix
      Then a gap in its cache events makes the dispatcher forget it
      And a new incarnation makes the dispatcher forget it

    # Guards against sending more requests to a paused engine, whose last load report shows it idle.
    Scenario: A replica that owes a first token gets no further requests
      Given two idle replicas, one of which owes a first token for 3 seconds
      Then the next 10 requests are routed to the other

  Rule: Instances of plain services

    # Guards against a failing instance that gets all calls because it has the fewest outstanding.
    Scenario: A failing service instance is left alone for a while
      Given three service instances of which one fails all its calls
      When 100 calls are routed to service instances
      Then at most 5 of them went to the failing instance
