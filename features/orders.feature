@system
Feature: Non-idempotent calls are executed at most once

  Scenario: A retry at another instance gets the response of the only execution
    Given an order with a unique key
    When the order is sent to instance 0
    And the order is sent to instance 1
    Then both answers are the same
    And the order was executed once

  Scenario: A lost response has an unknown outcome and a retry is not executed
    Given an order with a unique key
    And the services drop their next response
    When the order is sent to instance 0
    And the order is sent to instance 1
    Then both outcomes are "unknown"
    And the order was executed once

  Scenario: An order is refused as not run during a key-value service outage
    Given an order with a unique key
    And the key-value service is unavailable
    When the order is sent to instance 0
    Then the last outcome is "not-run"
    And the order was executed 0 times
    When the key-value service is available again
    And the order is sent until it has been executed
    Then the order was executed once

  Scenario: An order is not executed again after its instance is killed
    Given an order with a unique key
    And the services are delayed by 1 second
    When the order is sent to instance 0, which is killed during the execution
    And the order is sent until it has an outcome other than "not-run"
    Then the order was executed once
