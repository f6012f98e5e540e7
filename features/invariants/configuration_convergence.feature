@system @warm
Feature: An accepted configuration converges and is never rolled back

  Scenario: Changes pushed through different instances
    When 4 changes are pushed through different instances
    Then every instance eventually has the newest version in force
    And the check "configuration-convergence" holds

  Scenario: An instance restarts
    When 2 changes are pushed through different instances
    And an instance is killed and restarted
    Then every instance still has the newest version in force
    And the check "configuration-convergence" holds
