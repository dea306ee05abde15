Feature: The weight store gets no more loads than its ceiling from all gateways together

  # Guards against a limit of the fleet that each process keeps for itself: owners of domains that change or start
  # again order loads beside those that are under way, and a fleet that restarts takes itself for one without traffic.
  Scenario Outline: <gateways> gateways, and <trouble>
    Given a modelled fleet of <gateways> gateways with traffic
    When for a while <trouble>
    Then in no 5 s more loads have begun than the ceiling allows
    And most replicas are open again

    Examples:
      | gateways | trouble                                                       |
      | 7        | gateways restart one after another while engines are replaced |
      | 7        | many gateways restart again and again, and orders are late    |
      | 7        | news is old and orders are late while engines are replaced    |
      | 7        | half of the engines are replaced at once, again and again     |
      | 85       | gateways restart one after another while engines are replaced |
      | 85       | many gateways restart again and again, and orders are late    |
      | 85       | news is old and orders are late while engines are replaced    |
      | 85       | half of the engines are replaced at once, again and again     |
      | 300      | many gateways restart again and again, and orders are late    |
      | 7        | all gateways restart after engines were replaced              |
      | 85       | all gateways restart after engines were replaced              |
      | 300      | all gateways restart after engines were replaced              |
