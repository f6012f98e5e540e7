@system @warm
Feature: A refusal that says not run is true

  Scenario: A call that cannot be claimed is refused and never runs
    Given the key-value service is down
    When a call that may not be repeated is sent 2 times in turn
    Then every call is told "not-run"
    When the key-value service is up again
    Then the check "refusal-truth" holds
    And the call ran 0 times
