Feature: Settings of an entry are right as a whole or nothing starts

  # An operator rolls out a settings file with a slip in it: a unit, a misspelt key, two values that
  # cannot work together. If the entry started on what it understood, it would run with a default
  # that nobody chose, and the slip would show weeks later as a lost lease or a refused port.

  Scenario: Valid settings load with defaults
    Given entry settings that are valid
    When the entry settings are read
    Then the entry settings are accepted with "replicas.leaseMs" = 6000

  Scenario Outline: <slip>
    Given entry settings that are valid
    But the entry settings have "<key>" set to <value>
    When the entry settings are read
    Then the entry settings are refused for "<named>" showing "<shown>" and advising "<advice>"

    Examples:
      | slip                                  | key                    | value            | named                  | shown      | advice                 |
      | a duration in seconds                 | replicas.leaseMs       | "6s"             | replicas.leaseMs       | 6s         | milliseconds           |
      | seconds meant as milliseconds         | replicas.leaseMs       | 6                | replicas.leaseMs       | 6          | at least               |
      | a duration that is negative           | health.probeEveryMs    | -1               | health.probeEveryMs    | -1         | milliseconds           |
      | a duration with a fraction            | platform.timeoutMs     | 1.5              | platform.timeoutMs     | 1.5        | whole number           |
      | an unknown key                        | replicas.lease         | 6                | replicas.lease         | 6          | there is no such key   |
      | an unknown table                      | replica.leaseMs        | 6000             | replica                | 6000       | there is no such key   |
      | a host name for an IP number          | listen.callers         | "gate-1:8080"    | listen.callers         | gate-1     | IP number              |
      | an address without a port             | listen.callers         | "10.0.0.7"       | listen.callers         | 10.0.0.7   | host:port              |
      | a port that does not exist            | platform.address       | "10.0.0.1:99999" | platform.address       | 99999      | up to 65535            |
      | one port for two purposes             | listen.peers           | "127.0.0.1:8080" | listen.peers           | 8080       | must differ            |
      | a bound below two probes              | health.freshMs         | 500              | health.freshMs         | 500        | at least 900           |
      | an entry forgotten between digests    | membership.forgetMs    | 1000             | membership.forgetMs    | 1000       | at least 1500          |
      | a log level that does not exist       | logLevel               | "loud"           | logLevel               | loud       | expected one of                |
      | a name with capitals                  | name                   | "Entry-1"        | name                   | Entry-1    | lower-case             |

  Scenario: A missing key is named
    Given entry settings that are valid
    But the entry settings lack "failureDomain"
    When the entry settings are read
    Then the entry settings are refused for "failureDomain" showing "(missing)" and advising "set it"

  Scenario: All slips are named at once
    Given entry settings that are valid
    But the entry settings have "logLevel" set to "loud"
    And the entry settings have "replicas.lease" set to 6
    When the entry settings are read
    Then the entry settings have 2 faults

  Scenario: Text that is not TOML is named by its line
    Given an entry settings file with the text "name = entry-1"
    When the entry settings are read
    Then the entry settings are refused for "line 1" showing "name = entry-1" and advising "Invalid TOML"
