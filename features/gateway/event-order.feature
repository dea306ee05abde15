Feature: A caller gets each event once and in order, also when a server sends wrong ones

  # Guards against events that came with a missing one behind them, and that neither run delivers.
  Scenario: An event is missing in the middle of a run
    When each event but the first and the last of 7 is left out once, in chunks of 1 to 7 events
    Then each stream is delivered whole after a sound run

  # Guards against events that came before bytes without end, and that neither run delivers.
  Scenario: A run goes on without events
    When each event of 7 is followed once by bytes without end, in chunks of 1 to 7 events
    Then each stream is delivered whole after a sound run

  # Guards against a first or last event that is lost without a gap, because others don't show that it is missing.
  Scenario: An event of a run is spoiled
    When each event of 7 is once replaced by bytes that are no event, in chunks of 1 to 7 events
    Then each stream is delivered whole after a sound run
