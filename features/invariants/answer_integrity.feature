@system @warm
Feature: Each caller gets the complete answer to its own request

  Scenario: Events arrive duplicated, late, swapped between requests, or not at all
    Given every engine sends faulty event streams
    When 12 requests are sent concurrently
    Then no request gets an incorrect answer marked as complete
    And the check "answer-integrity" holds

  Scenario: A connection to an engine breaks during an answer
    Given every engine truncates one answer
    When 6 requests are sent concurrently
    Then every request gets its own complete answer
    And the check "answer-integrity" holds
