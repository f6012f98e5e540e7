@system @warm
Feature: An endpoint that leaves gets no new work

  Scenario: An endpoint leaves and returns
    When operators take the endpoint "engine-1" out
    And 12 requests are sent at once
    Then every request gets its own whole answer
    And the check "endpoint-drain" holds
    When operators put the endpoint "engine-1" back
    Then "engine-1" gets work again
    And the check "endpoint-drain" holds
