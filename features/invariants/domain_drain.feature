@system @warm
Feature: A failure domain out of service receives no new requests

  Scenario: A domain is drained and returned to service
    When operators drain the domain "domain-a"
    And 12 requests are sent concurrently
    Then every request gets its own complete answer
    And the check "domain-drain" holds
    When operators return the domain "domain-a" to service
    Then "engine-0" receives requests again
    And the check "domain-drain" holds
