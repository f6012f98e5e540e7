@system
Feature: Calls that may not be repeated run at most once

  Scenario: A repeat at another instance gets the answer of the only run
    Given an order with a key of its own
    When the order is sent to instance 0
    And the order is sent to instance 1
    Then both answers are the same
    And the order ran once

  Scenario: A lost answer is unknown, and a repeat does not run the order
    Given an order with a key of its own
    And the services lose their next answer
    When the order is sent to instance 0
    And the order is sent to instance 1
    Then both outcomes are "unknown"
    And the order ran once

  Scenario: An outage of the key-value service refuses the order truthfully
    Given an order with a key of its own
    And the key-value service is out
    When the order is sent to instance 0
    Then the last outcome is "not-run"
    And the order ran 0 times
    When the key-value service answers again
    And the order is sent until it has run
    Then the order ran once

  Scenario: An order whose instance dies in mid-run is not run again
    Given an order with a key of its own
    And the services take 1 second more
    When the order is sent to instance 0, which is killed in mid-run
    And the order is sent until it has an outcome other than "not-run"
    Then the order ran once
