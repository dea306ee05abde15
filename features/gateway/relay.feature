Feature: A gateway relays requests for another one that has lost its links

  # Guards against answers that change or look complete because they were relayed.
  Scenario Outline: A server <fault> behind a relay
    Given a site with 3 gateways that each have links of their own
    And the first gateway has lost all links
    When the plain servers <fault> and 30 calls and 30 lookups come to the first gateway
    Then each success is the whole answer of a server to that request
    And no call ran twice, and none that was refused has run
    And <answered> of the lookups were answered

    Examples:
      | fault                                 | answered |
      | lose their answers                    | none     |
      | refuse                                | none     |
      | fail                                  | none     |
      | send answers of another request       | none     |
      | reset answers without a length        | none     |
      | answer without a length               | all      |

  # Guards against streams that lose or repeat events when a relay breaks off.
  Scenario Outline: Streams are cut at the engine, and the relays <end>
    Given a site with 4 gateways that each have links of their own
    And the first gateway has lost all links
    When the engines cut streams after 4 events and 24 streams come to the first gateway
    And 24 streams come to the first gateway while the second gateway <end>
    Then each success is the whole stream
    And 40 of 48 streams were answered

    Examples:
      | end        |
      | is killed  |
      | is stopped |

  # Guards against engines that work on for callers who have left.
  Scenario: Callers leave while their streams are relayed
    Given a site with 3 gateways that each have links of their own
    And the first gateway has lost all links
    When 10 callers of long streams at the first gateway leave after 300 ms
    Then within 500 ms no engine runs a stream

  # Guards against a way to the backend servers for anybody who reaches the port of the peers.
  Scenario: Somebody else asks a gateway to relay
    Given a site with 2 gateways that each have links of their own
    When requests with odd or invalid relay headers come to the port for peers
    Then all of them are refused and none has reached a server

  # Guards against requests that go round between gateways.
  Scenario: A gateway without links is asked to relay
    Given a site with 2 gateways that each have links of their own
    And both gateways have lost all links
    When a valid request to relay comes to the port for peers
    Then it is refused and none has reached a server
