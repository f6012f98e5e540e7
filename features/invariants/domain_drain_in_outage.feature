@system @warm
Feature: A failure domain is drained during a key-value service outage

  Scenario: Operators drain a domain during an outage
    Given the key-value service is down
    When operators drain the domain "domain-b"
    And 12 requests are sent concurrently
    Then every request gets its own complete answer
    And the check "domain-drain" holds
