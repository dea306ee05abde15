Feature: A change of the configuration is in force everywhere in time, whatever is lost on its way

  # Guards against steps that are each within their own limit, and whose sum is not within the bound.
  Scenario Outline: <gateways> gateways, and two messages in a row are lost on the way to <who>
    Given <changes> changes in fleets of <gateways> gateways in <domains> failure domains, with a bound of <bound> ms
    When two messages in a row are lost on the way to <who>
    Then each change is in force at all gateways within the bound

    Examples:
      | gateways | domains | bound | changes | who                                   |
      | 7        | 3       | 2000  | 60      | the hub                               |
      | 7        | 3       | 2000  | 60      | a member                              |
      | 7        | 3       | 2000  | 60      | a member without a store              |
      | 7        | 3       | 2000  | 60      | a member of a domain without a store  |
      | 7        | 3       | 2000  | 60      | a member whose hub dies               |
      | 7        | 3       | 2000  | 60      | a gateway that starts                 |
      | 85       | 3       | 3000  | 6       | the hub                               |
      | 85       | 3       | 3000  | 6       | a member                              |
      | 85       | 3       | 3000  | 6       | a member without a store              |
      | 85       | 3       | 3000  | 6       | a member of a domain without a store  |
      | 85       | 3       | 3000  | 6       | a member whose hub dies               |
      | 85       | 3       | 3000  | 6       | a gateway that starts                 |
      | 300      | 4       | 4000  | 2       | the hub                               |
      | 300      | 4       | 4000  | 2       | a member                              |
      | 300      | 4       | 4000  | 2       | a member without a store              |
      | 300      | 4       | 4000  | 2       | a member of a domain without a store  |
      | 300      | 4       | 4000  | 2       | a member whose hub dies               |
      | 300      | 4       | 4000  | 2       | a gateway that starts                 |

  # Guards against a difference between versions that gives another configuration than the whole one.
  Scenario: Random configurations are changed at random
    Then for 300 random changes the difference applied to the version before gives the version after
    And applied to another version, or to other content under its number, it gives nothing
