@system
Feature: The published API

  An unmodified client library of the published API works with an instance.

  Scenario: The client lists models
    When the client lists the models
    Then the models are "writer"

  Scenario: The client reads a non-streamed completion
    When the client requests a completion of 12 tokens
    Then the answer is the engine's complete text
    And the answer reports 12 tokens

  Scenario: The client reads a streamed completion
    When the client streams a completion of 12 tokens
    Then the answer is the engine's complete text

  Scenario: The client reads a non-streamed chat completion
    When the client requests a chat completion of 12 tokens
    Then the answer is the engine's complete text

  Scenario: The client reads a streamed chat completion
    When the client streams a chat completion of 12 tokens
    Then the answer is the engine's complete text

  Scenario: An unknown model raises the expected error type in the client
    When the client requests a completion of the model "absent"
    Then the client raises "NotFoundError" with the code "model_not_found"

  Scenario: An unknown key raises the expected error type in the client
    When the client sends an unknown key
    Then the client raises "AuthenticationError" with the code "unknown_key"

  Scenario: A prompt beyond the context limit is rejected before execution
    When the client requests a completion of 500000 tokens
    Then the client raises "BadRequestError" with the code "context_length_exceeded"
    And the outcome is "not-run"
