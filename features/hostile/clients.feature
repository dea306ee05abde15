Feature: Hostile answers to the clients of an entry

  Engines, peers and the platform answer with what no protocol has: noise, wrong schemas, bodies
  without end. A client that throws past its Result ends the entry and all its callers' answers
  with it; one that reads on without bound fills the memory.

  Scenario Outline: <client> meets <answer>
    Given a hostile server that answers with <answer>
    When the <client> asks it
    Then the hostile answer ends in a failure within 3000 ms
    And at most 80 million bytes of the hostile answer were taken

    Examples:
      | client            | answer                     |
      | engine's health   | noise instead of HTTP      |
      | engine's health   | noise for JSON             |
      | engine's health   | another schema             |
      | engine's health   | a body without end         |
      | engine's health   | silence                    |
      | engine's health   | headers without end        |
      | engine's order    | another schema             |
      | engine's order    | a body without end         |
      | engine's events   | another schema             |
      | engine's events   | a body without end         |
      | engine's stream   | noise instead of HTTP      |
      | engine's stream   | another schema             |
      | engine's stream   | a body without end         |
      | engine's stream   | an event stream without end |
      | peer's exchange   | noise instead of HTTP      |
      | peer's exchange   | noise for JSON             |
      | peer's exchange   | another schema             |
      | peer's exchange   | a body without end         |
      | peer's exchange   | silence                    |
      | peer's exchange   | a message that inflates without end |
      | platform's read   | noise instead of HTTP      |
      | platform's read   | noise for JSON             |
      | platform's read   | another schema             |
      | platform's read   | a body without end         |
      | platform's read   | silence                    |
      | platform's list   | another schema             |
      | platform's watch  | another schema             |
      | platform's watch  | a body without end         |
      | platform's write  | another schema             |

  # Guards against answers with a status outside of HTTP that are passed on, or read as if they were good.
  Scenario Outline: <client> meets <answer>, which no server may send
    Given a hostile server that answers with <answer>
    When the <client> asks it
    Then the hostile answer ends in a failure within 3000 ms

    Examples:
      | client | answer |
      | engine's health | the status 000 |
      | engine's health | the status 099 |
      | engine's health | the status 600 |
      | engine's health | the status 999 |
      | engine's order | the status 000 |
      | engine's order | the status 099 |
      | engine's order | the status 600 |
      | engine's order | the status 999 |
      | engine's stream | the status 000 |
      | engine's stream | the status 099 |
      | engine's stream | the status 600 |
      | engine's stream | the status 999 |
      | service's answer | the status 000 |
      | service's answer | the status 099 |
      | service's answer | the status 600 |
      | service's answer | the status 999 |
      | peer's exchange | the status 000 |
      | peer's exchange | the status 099 |
      | peer's exchange | the status 600 |
      | peer's exchange | the status 999 |
      | gateway's question | the status 000 |
      | gateway's question | the status 099 |
      | gateway's question | the status 600 |
      | gateway's question | the status 999 |
      | platform's read | the status 000 |
      | platform's read | the status 099 |
      | platform's read | the status 600 |
      | platform's read | the status 999 |
      | platform's write | the status 000 |
      | platform's write | the status 099 |
      | platform's write | the status 600 |
      | platform's write | the status 999 |

  # Guards against waits that each interim response or comment starts again, so that one faulty server holds its
  # requests, and the processor, until their callers leave; and against answers that are read without a bound.
  Scenario Outline: <client> meets <answer> without end
    Given a hostile server that answers with <answer> without end
    When the <client> asks it
    Then the hostile answer ends in a failure within 3000 ms
    And at most 30 million bytes of the hostile answer were taken

    Examples:
      | client             | answer             |
      | engine's health    | interim responses  |
      | engine's health    | chunks of one byte |
      | engine's health    | header fields      |
      | engine's order     | interim responses  |
      | engine's order     | chunks of one byte |
      | engine's stream    | interim responses  |
      | engine's stream    | header fields      |
      | engine's stream    | chunks of one byte |
      | engine's stream    | data lines         |
      | engine's stream    | comments           |
      | engine's stream    | trailers           |
      | service's answer   | interim responses  |
      | service's answer   | header fields      |
      | peer's exchange    | interim responses  |
      | peer's exchange    | chunks of one byte |
      | gateway's question | interim responses  |
      | gateway's question | header fields      |
      | gateway's question | chunks of one byte |
      | gateway's question | a body             |

  Scenario: whatever an engine streams, the answer is a run of tokens and one last word
    When an engine streams 150 random mixtures of chunks, noise and cuts
    Then each stream was passed on as tokens in order and one last end or error
