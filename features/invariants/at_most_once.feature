@system @warm
Feature: A non-idempotent call is executed at most once

  Scenario: The response is lost after the call was executed
    Given the service drops the response to the next call after executing it
    When a non-idempotent call is sent 4 times sequentially
    Then the last call has the outcome "complete" or "unknown"
    And the call was executed 1 times
    And the check "at-most-once" holds

  Scenario: Several instances receive the same call concurrently
    When a non-idempotent call is sent 6 times concurrently
    Then the call was executed 1 times
    And the check "at-most-once" holds
    And the check "refusal-truth" holds
