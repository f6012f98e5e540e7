@system @warm
Feature: A graceful shutdown interrupts no request in progress

  Scenario: An instance stops while it serves requests
    When an instance is stopped gracefully while 4 answers are in progress
    Then every request gets its own complete answer
    And the check "graceful-shutdown" holds
