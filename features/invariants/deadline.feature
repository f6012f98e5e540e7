@system @warm
Feature: Every admitted request ends within its time

  Scenario: A request that cannot end in time is told so in time
    When a request with a deadline of 0.5 s asks for 5000 tokens
    Then the request is told that it did not end in time
    And the check "deadline" holds
    And the check "memory-release" holds
