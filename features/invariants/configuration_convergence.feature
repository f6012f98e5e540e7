@system @warm
Feature: An accepted configuration is soon in force and never reverts

  Scenario: Changes pushed through different instances
    When 4 changes are pushed through different instances
    Then every instance soon has the newest version in force
    And the check "configuration-convergence" holds

  Scenario: An instance restarts
    When 2 changes are pushed through different instances
    And an instance is killed and started again
    Then every instance still has the newest version in force
    And the check "configuration-convergence" holds
