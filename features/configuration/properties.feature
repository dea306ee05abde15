Feature: Merging and acceptance under any order of events

  Scenario: versions arrive in any order, twice, and from old copies
    Guards against entries that diverge or revert a change, depending on the order of delivery.
    Then merging object versions in any order gives one state that never goes back

  Scenario: a peer that asks page by page
    Then all pages of a peer's changes together give its state

  Scenario: acceptance judged from old news
    Guards against acceptance being concluded from outdated or missing reports of other entries.
    Then no change is called accepted while a live entry lacks it
