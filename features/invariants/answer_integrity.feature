@system @warm
Feature: Each caller gets the whole answer to its own request

  Scenario: Events arrive twice, late, crossed, or not at all
    Given every engine sends spoilt events
    When 12 requests are sent at once
    Then no request gets a wrong answer as whole
    And the check "answer-integrity" holds

  Scenario: A connection to an engine breaks in the middle of an answer
    Given every engine breaks one answer off
    When 6 requests are sent at once
    Then every request gets its own whole answer
    And the check "answer-integrity" holds
