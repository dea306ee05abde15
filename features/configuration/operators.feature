Feature: The operators' API over HTTP
  Scripts and the command line depend on the status codes and bodies of the API.

  Scenario Outline: answers of the operators' API
    Given an entry with an operators' listener
    When an operator sends <method> "<path>" with body <body>
    Then the operators' API answers <status> with "<text>"

    Examples:
      | method | path                   | body                                      | status | text              |
      | PUT    | /objects/model/pass    | {"value": {"replicas": 2}}                | 200    | "warnings":[{     |
      | PUT    | /objects/model/known   | {"value": {"replicas": 2}, "expected": 0} | 409    | "versionConflict" |
      | PUT    | /objects/model/pass    | {"value": {"replicas": "two"}}            | 422    | "faults":[{       |
      | PUT    | /objects/engine/pass   | {"value": {}}                             | 400    | "invalidRequest"  |
      | PUT    | /objects/model/pass    | no JSON                                   | 400    | "invalidRequest"  |
      | GET    | /objects/model/missing | none                                      | 404    | "objectUnknown"   |
      | GET    | /objects/model/known   | none                                      | 200    | "version":        |
      | DELETE | /objects/model/known   | none                                      | 200    | "deleted":true    |
      | PATCH  | /labels/model/known    | {"labels": {"a": "b", "c": null}}         | 200    | "labels":{"a":"b" |
      | POST   | /drain/nobody          | none                                      | 404    | "objectUnknown"   |
      | GET    | /acceptance/1?wait=5   | none                                      | 200    | "accepted"        |
      | GET    | /acceptance/9999       | none                                      | 200    | "pending"         |
      | GET    | /drains                | none                                      | 200    | "drains":[]       |
      | GET    | /nowhere               | none                                      | 404    | "routeUnknown"    |

  Scenario: status has the shape that it promises
    Given an entry with an operators' listener
    Then the status over HTTP is valid and names model "known" with a reason
