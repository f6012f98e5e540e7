@system @warm
Feature: Every admitted request ends by its deadline

  Scenario: A request that cannot complete in time is reported in time
    When a request with a deadline of 0.5 s requests 5000 tokens
    Then the request is reported as not completed in time
    And the check "deadline" holds
    And the check "memory-release" holds
