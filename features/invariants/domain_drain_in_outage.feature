@system @warm
Feature: A failure domain leaves though the key-value service is down

  Scenario: Operators take a domain out in an outage
    Given the key-value service is down
    When operators take the domain "domain-b" out
    And 12 requests are sent at once
    Then every request gets its own whole answer
    And the check "domain-drain" holds
