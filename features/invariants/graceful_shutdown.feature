@system @warm
Feature: A planned stop cuts off no request in progress

  Scenario: An instance stops while it answers
    When an instance is asked to stop while 4 answers are in progress
    Then every request gets its own whole answer
    And the check "graceful-shutdown" holds
