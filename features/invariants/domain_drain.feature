@system @warm
Feature: A failure domain out of service gets no new work

  Scenario: A domain leaves and returns
    When operators take the domain "domain-a" out
    And 12 requests are sent at once
    Then every request gets its own whole answer
    And the check "domain-drain" holds
    When operators put the domain "domain-a" back
    Then "engine-0" gets work again
    And the check "domain-drain" holds
