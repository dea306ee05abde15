Feature: What a sender has given up does not arrive later

  # Guards against calls that the kernel delivers after their sender has given them up, since their connection was closed
  # in the regular way: an order that is out of date, a write whose condition holds again, a request sent elsewhere.
  Scenario Outline: <call> is given up while the link is out, over <connection> connection
    Given a server behind a link, and <connection> connection of the sender of <call>
    When the link is out until <call> is given up
    Then nothing of it reaches the server after the link is restored

    Examples:
      | call                           | connection |
      | a request                      | a kept     |
      | a request                      | a new      |
      | a relayed request              | a kept     |
      | a relayed request              | a new      |
      | an order                       | a kept     |
      | an order                       | a new      |
      | a report                       | a kept     |
      | a check                        | a new      |
      | a write to the store           | a kept     |
      | a write to the store           | a new      |
      | a hedged read of the store     | a kept     |
      | a message to a gateway         | a kept     |
      | an entry's completion          | a kept     |
      | an entry's completion          | a new      |
      | an entry's order               | a new      |
      | an entry's health check        | a kept     |
      | an entry's call of a service   | a kept     |
      | an entry's call of a service   | a new      |
      | an entry's write               | a kept     |
      | an entry's exchange with peers | a kept     |

  # Guards against requests of the entry program that are sent for callers whose leaving has arrived and is not read yet.
  Scenario Outline: <call> is begun while its caller's leaving is unread
    Given a server behind a link, and a kept connection of the sender of <call>
    When <call> is begun and given up in the next turn of the event loop
    Then nothing of it reaches the server

    Examples:
      | call                         |
      | an entry's completion        |
      | an entry's call of a service |
