@system @warm
Feature: A request reported as not run was not executed

  Scenario: A call that cannot be claimed is refused and never executed
    Given the key-value service is down
    When a non-idempotent call is sent 2 times sequentially
    Then every call has the outcome "not-run"
    When the key-value service is up again
    Then the check "refusal-truth" holds
    And the call was executed 0 times
