@system @warm
Feature: A draining endpoint receives no new requests

  Scenario: An endpoint is drained and returned to service
    When operators drain the endpoint "engine-1"
    And 12 requests are sent concurrently
    Then every request gets its own complete answer
    And the check "endpoint-drain" holds
    When operators return the endpoint "engine-1" to service
    Then "engine-1" receives requests again
    And the check "endpoint-drain" holds
