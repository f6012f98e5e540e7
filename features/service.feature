@system
Feature: Parts are taken out of service and put back

  Scenario: A domain taken out in an outage stays out over a restart
    Given the key-value service is unavailable
    When an operator takes "domain/domain-b" out of service through instance 0
    Then the response says "in force, not yet stored"
    And the change is held by every instance
    When instance 1 is killed and restarted
    Then "domain domain-b" is held out of service at every instance
    When the key-value service is available again
    Then "domain domain-b" is stored as out of service at every instance
    And the audit trail contains the change once
    When an operator returns "domain/domain-b" to service through instance 1
    Then "domain domain-b" is in service at every instance

  Scenario: One of two concurrent pushes is rejected with the conflicting change
    Given two documents with the weights 2 and 3 of the first organisation
    And responses of the key-value service are lost
    When two operators push them concurrently through different instances
    Then one version is stored
    And the other operator gets the accepted change as the conflict
    And the version is in force at every instance

  Scenario: A caller key works until it is revoked
    When an operator issues the key "fresh" to the first organisation
    Then the published API accepts the key
    When an operator revokes the key "fresh"
    Then the published API refuses the key

  Scenario: An instance taken out of service hands over its endpoints
    When an operator takes "instance/instance-0" out of service through instance 1 with the change id "rest-0"
    Then "instance-0" owns no endpoints and the other instances own all
    When an operator returns "instance/instance-0" to service through instance 1 with the change id "back-0"
    And an operator takes "instance/instance-1" out of service through instance 0 with the change id "rest-1"
    Then "instance-1" owns no endpoints and the other instances own all
    When an operator returns "instance/instance-1" to service through instance 0 with the change id "back-1"
    Then "instance instance-1" is in service at every instance
