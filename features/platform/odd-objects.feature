Feature: One odd object in the platform is left out, and everything else goes on

  # Guards against an entry that follows no changes any more, because one object of an answer is no object.
  Scenario: A list and a watch bring objects of other writers
    Given a platform whose answers have odd objects of every form beside a model
    When it is listed and watched
    Then the model is read both times, and no odd object but those of a valid form

  # Guards against entries that can't be told the configuration, because a value can't be encoded.
  Scenario: A value has 100000 arrays in each other
    Given a platform whose answers have odd objects of every form beside a model
    When it is listed and watched
    Then what is read can be sent to another entry, and the model is in force there

  # Guards against calls to an address for which the HTTP client throws.
  Scenario Outline: An instance has the address "<address>"
    Then an instance with the address "<address>" is <kind>

    Examples:
      | address         | kind     |
      | 10.0.0.1:8080   | valid    |
      | engine-1:1      | valid    |
      | 10.0.0.1:65536  | rejected |
      | 10.0.0.1:99999  | rejected |
      | 256.1.1.1:8080  | rejected |
      | xn--a:8080      | rejected |
      | a%:80           | rejected |

  # Guards against a loop that ends for good with the first exception.
  Scenario: Processing the first list throws
    Given a platform whose answers have odd objects of every form beside a model
    When it is watched by a loop whose processing throws once
    Then the loop has processed a list within 3000 ms
