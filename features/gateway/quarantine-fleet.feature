Feature: A part of prompts that crashes engines is held by the whole fleet

  # Guards against sendings over the fleet after five engines have crashed under one part, and against a
  # quarantine that sound requests with the same caller and the same other parts fall under.
  Scenario Outline: <gateways> gateways find the part through random disturbances
    When <fleets> fleets of <domains> failure domains of <size> gateways meet a part that <history> beside <sound>
    Then at most 3 sendings with the part by gateways in touch came later than 3000 ms after the fifth crash
    And from 6000 ms after it on at least half of the sound requests were sent

    Examples:
      | gateways | domains | size | fleets | history             | sound                      |
      | 7        | 1       | 7    | 80     | was never answered  | different sound requests   |
      | 7        | 1       | 7    | 80     | was answered before | different sound requests   |
      | 7        | 1       | 7    | 80     | was never answered  | one repeated sound request |
      | 7        | 1       | 7    | 80     | was answered before | one repeated sound request |
      | 85       | 5       | 17   | 8      | was never answered  | different sound requests   |
      | 85       | 5       | 17   | 8      | was answered before | different sound requests   |
      | 85       | 5       | 17   | 8      | was never answered  | one repeated sound request |
      | 300      | 3       | 100  | 2      | was never answered  | different sound requests   |
      | 300      | 5       | 60   | 2      | was answered before | different sound requests   |
      | 300      | 3       | 100  | 2      | was never answered  | one repeated sound request |
