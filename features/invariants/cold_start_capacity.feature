@system
Feature: A cold endpoint receives no more requests than it can serve

  Scenario: A burst of requests reaches cold engines
    When 24 requests are sent concurrently
    Then every request gets its own complete answer
    And no engine was overloaded
    And the check "cold-start-capacity" holds
