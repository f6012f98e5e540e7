@system @warm
Feature: A call that may not be repeated runs at most once

  Scenario: The answer is lost after the call has run
    Given the service loses the answer to the next call after running it
    When a call that may not be repeated is sent 4 times in turn
    Then the last call is told "complete" or "unknown"
    And the call ran 1 times
    And the check "at-most-once" holds

  Scenario: Two instances get the same call at once
    When a call that may not be repeated is sent 6 times at once
    Then the call ran 1 times
    And the check "at-most-once" holds
    And the check "refusal-truth" holds
