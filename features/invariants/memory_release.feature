@system @warm
Feature: No engine loses memory permanently

  Scenario: A caller that leaves frees the memory of its stream
    When a caller leaves in the middle of its answer
    Then the check "memory-release" holds

  Scenario: Answers that broke off free their memory
    Given every engine breaks one answer off
    When 6 requests are sent at once
    Then the check "memory-release" holds
