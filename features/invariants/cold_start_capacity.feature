@system
Feature: An endpoint in a cold start gets no more work than it carries

  Scenario: A burst meets cold engines
    When 24 requests are sent at once
    Then every request gets its own whole answer
    And no engine was overloaded
    And the check "cold-start-capacity" holds
