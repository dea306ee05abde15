Feature: Gateways keep their promises under faults that come together

  # Processes are killed, stopped and paused, links are cut, the store is away or loses answers, engines
  # crash and carry out orders late, all at times that nobody chose. Whatever happens, nothing that
  # may run once runs twice, nobody gets another's answer, and everything serves again afterwards.
  # "npm run soak" plays longer runs with fresh seeds.

  Scenario Outline: A short run with a fixed seed
    When 2 gateways live through the faults of seed <seed> for 4 seconds
    Then no promise was broken

    Examples:
      | seed |
      | 13   |
      | 16   |
