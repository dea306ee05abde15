Feature: Bytes of a backend server that are no answer and have no end

  # Guards against a gateway that one faulty server keeps busy, or fills its memory, until the time of a
  # request is over. Its other callers would wait, and their departures go unnoticed. An answer may have
  # 8 MB, and the sockets of both sides hold some more.
  Scenario Outline: A server sends <what> without end
    Given a gateway beside plain servers and engines, one of each sending <what> without end
    When 12 lookups and 12 streams come while others use the sound servers
    Then all of the lookups and streams are answered whole by other servers
    And each answer without end was closed after at most 20 MB
    And the gateway has used at most 3000 ms of processor time and 100 MB more of memory
    And the log blames the servers for them

    Examples:
      | what                              |
      | one header field                  |
      | a reason phrase                   |
      | blank lines                       |
      | bytes that are no answer          |
      | interim responses                 |
      | a chunk extension                 |
      | a chunk size                      |
      | a body that ends with its connection |
      | a body in chunks                  |
      | a body in chunks of one byte      |
      | a body with a huge length         |
      | one event                         |
      | comment lines                     |
      | comments                          |
      | header fields                     |
      | trailers                          |

  # Guards against memory that is counted by the bytes of a body only: each part of a chunked body is an object
  # of its own and keeps the data that it was received with.
  Scenario Outline: Several servers send <what> without end to many callers at once
    Given a gateway beside plain servers and engines, all but two sending <what> without end
    When 40 lookups and 40 streams come at once, 3 times
    Then each answer without end was closed after at most 90 MB
    And the gateway has used at most 150 MB more of memory
    And the gateway answers a lookup once its servers are sound

    Examples:
      | what                                   |
      | a body in chunks of one byte           |
      | a body in chunks with extensions       |
      | an event in chunks with extensions     |
      | an event in chunks of one byte         |
      | events in chunks of one byte           |
      | a body in chunks                       |
      | interim responses                      |

  # Guards against work for each chunk that grows with what has come before it.
  Scenario: An event without end arrives in small chunks
    When 200 KB of an event without end arrive in chunks of 16 bytes
    Then reading them takes at most 1000 ms, and 100 KB more are one too many

  # Guards against bytes that are lost or change their order where small chunks are copied together.
  Scenario: Chunks of any size are collected
    When 300 draws of chunks of 0 to 70000 bytes are collected
    Then each draw has the bytes of its chunks in order
