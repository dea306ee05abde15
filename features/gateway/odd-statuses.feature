Feature: An answer with a status that no server may send is no answer

  # Guards against callers that get an answer with a status outside of HTTP, such as 000 or 999, from a server in trouble.
  Scenario Outline: A backend server answers with each status outside of 100 to 599, <framing>, <path>
    Given a backend server that sends given bytes
    When it sends each status that no server may send <framing>, <path>
    Then each of these answers has failed as one of unknown outcome

    Examples:
      | framing                | path    |
      | with a length          | direct  |
      | in chunks              | direct  |
      | until it closes        | direct  |
      | with a length of zero  | direct  |
      | with a length          | relayed |
      | in chunks              | relayed |
      | until it closes        | relayed |
      | with a length of zero  | relayed |

  # Guards against the same for the callers of a gateway, of lookups, calls and streams.
  Scenario Outline: All servers answer with status <status> at a gateway that reaches them <how>
    Given a site with slow servers, and a gateway that reaches them <how>
    When lookups, calls and streams come while all servers answer with status <status> in each framing
    Then no caller got that status, and each call's outcome was unknown

    Examples:
      | status | how                  |
      | 000    | itself               |
      | 099    | itself               |
      | 600    | itself               |
      | 999    | itself               |
      | 000    | over another gateway |
      | 600    | over another gateway |
      | 999    | over another gateway |

  # Guards against orders that count as refused, and reports that count as answers, by a status outside of HTTP.
  Scenario Outline: An engine answers orders and reports with status <status>
    Given an engine that answers calls with status <status>
    Then the outcome of an order to it is unknown, and a report of it is none

    Examples:
      | status |
      | 000    |
      | 600    |
      | 999    |
