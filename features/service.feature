@system
Feature: Parts are taken out of service and put back

  Scenario: A domain taken out in an outage stays out over a restart
    Given the key-value service is out
    When an operator takes "domain/domain-b" out through instance 0
    Then the answer says "in force, not yet stored"
    And the answer is held by every instance
    When instance 1 is killed and started again
    Then "domain domain-b" is held out at every instance
    When the key-value service answers again
    Then "domain domain-b" is stored as out at every instance
    And the audit trail holds the change once
    When an operator puts "domain/domain-b" in through instance 1
    Then "domain domain-b" is in service at every instance

  Scenario: Of two operators who race one is told what the other changed
    Given two texts with the weights 2 and 3 of the first organisation
    And answers of the key-value service get lost
    When two operators push them at once through different instances
    Then one version is stored
    And the other operator is told of the winner's change
    And the version is in force at every instance

  Scenario: A caller key works until it is revoked
    When an operator issues the key "fresh" to the first organisation
    Then the published API accepts the key
    When an operator revokes the key "fresh"
    Then the published API refuses the key

  Scenario: An instance taken out hands over what it owns
    When an operator takes "instance/instance-0" out through instance 1 under the id "rest-0"
    Then "instance-0" owns nothing and the others own everything
    When an operator puts "instance/instance-0" in through instance 1 under the id "back-0"
    And an operator takes "instance/instance-1" out through instance 0 under the id "rest-1"
    Then "instance-1" owns nothing and the others own everything
    When an operator puts "instance/instance-1" in through instance 0 under the id "back-1"
    Then "instance instance-1" is in service at every instance
