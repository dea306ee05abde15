Feature: Replicas are formed whole and never share an instance

  Scenario: Engines without a group are formed into replicas
    Given a site with 5 engines and a ready gateway with 2 open groups
    Then no engine is a member of two groups
    And each head was opened only after all its members were ready

  Scenario: A member of a replica ends
    Guards against a head that keeps accepting requests after its group has lost a member.
    Given a site with 5 engines and a ready gateway with 2 open groups
    When a member of an open group ends
    Then 2 groups are open again without it
    And its head left its group before it joined another

  Scenario: A gateway starts where groups are open already
    Open groups must be taken over from the stored plan rather than formed again.
    Given a site with 4 engines and a ready gateway with 2 open groups
    When the gateway is killed and another one starts
    Then the same groups are open after the new gateway has served a stream

  Scenario: The answer to the write of a plan is lost
    Guards against repeating a conditional write that succeeded, which would fail forever.
    Given a site with 4 engines and no groups
    And the store loses the answers to writes
    And a gateway
    When the store answers again after a plan was written
    Then 2 groups are open in the end
    And no engine is a member of two groups
