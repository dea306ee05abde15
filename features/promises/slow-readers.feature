Feature: Callers that do not read take bounded memory

  A phone out of reach keeps its connection open and reads nothing. What is written to it meanwhile
  must wait at the backend server, not in the entry, and not for longer than the request's deadline.

  Scenario: Downloads that nobody reads
    # Entries with a few dozen megabytes to spare die one after the other, and every caller with them:
    # some phones asked for large files, went out of reach, and the entries held the files for them.
    Given an entry before a service with large files and an engine with long answers
    When 20 callers ask for 50 megabytes each with 3 seconds to go, and read nothing
    Then the entry held no more for them than the buffers of 20 downloads take
    And the entry's memory in use grew by less than 32 megabytes
    And the service is rid of these callers once their deadline has passed
    And none of these callers has a whole answer

  Scenario: Streams that nobody reads
    # The same with answers of a model: the engine goes on writing for a caller that is gone, and a
    # place in its batch is lost to those who wait.
    Given an entry before a service with large files and an engine with long answers
    When 6 callers ask for an answer of 100000 tokens with 7 seconds to go, and read nothing
    Then the entry held no more for them than the buffers of 6 streams take
    And the entry's memory in use grew by less than 32 megabytes
    And the engine was told to stop at the deadline, long before the last token
    And none of these callers has a whole answer
