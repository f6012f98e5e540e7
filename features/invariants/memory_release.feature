@system @warm
Feature: No engine loses memory permanently

  Scenario: An aborted request releases the memory of its stream
    When a caller aborts its request while it is answered
    Then the check "memory-release" holds

  Scenario: Truncated answers release their memory
    Given every engine truncates one answer
    When 6 requests are sent concurrently
    Then the check "memory-release" holds
