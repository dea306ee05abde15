Feature: Gateways share the connections that a server accepts

  # Guards against idle connections of many gateways that take all that a server accepts.
  Scenario Outline: <gateways> gateways and a server that accepts <connections> connections
    When each of <gateways> gateways has used 20 connections to a server that accepts <connections>
    Then together they keep <idle> of them idle

    Examples:
      | gateways | connections | idle |
      | 1        | 100         | 8    |
      | 7        | 49          | 35   |
      | 69       | 110         | 69   |
      | 195      | 1356        | 975  |
      | 195      | 100         | 0    |
