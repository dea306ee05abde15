Feature: Merging and acceptance under any order of events

  Scenario: versions arrive in any order, twice, and from old copies
    Every entry hears of changes on its own ways. If the order mattered, two entries would serve by
    different configurations for ever, or one would go back to what was replaced.
    Then merging object versions in any order gives one state that never goes back

  Scenario: a peer that asks page by page
    Then all pages of a peer's changes together give its state

  Scenario: acceptance judged from old news
    An entry knows of the others only what they last said. Whatever of it is old or missing, it must
    not call a change accepted that some live entry lacks.
    Then no change is called accepted while a live entry lacks it
