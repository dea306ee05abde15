Feature: Hostile input to the parsers

  Settings, messages between entries and callers' bodies are read by parsers that others wrote. One
  that throws past its Result, or that takes seconds for a small text, takes the entry with it.

  Scenario: settings that are no settings
    When 300 random texts and damaged copies of a settings file are read as settings
    Then each is refused with the file's name, or is valid

  Scenario: deeply nested settings
    When settings of 200000 nested arrays are read
    Then they are refused with the file's name within 2000 ms

  Scenario: messages between entries that are no messages
    When 300 random texts and damaged copies of a message between entries are decoded
    Then each decodes to the message or is refused within 100 ms

  Scenario: a small message that unfolds into millions of values
    Inflated, 64 KB become 32 MB of JSON, and its values several hundred megabytes. The entry would
    stand still for more than a second while it reads them, and all its callers with it.
    When a message of 64 KB unfolds into millions of empty arrays
    Then the entry's decoder refuses it unread and within 150 ms

  Scenario: callers' bodies of any shape
    When 500 random JSON values are checked as a completion's body
    Then each check ends in a body or a list of faults
