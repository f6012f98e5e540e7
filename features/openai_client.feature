@system
Feature: The published API

  An unmodified client library of the published API works against an instance.

  Scenario: The client lists models
    When the client lists the models
    Then the models are "writer"

  Scenario: The client reads a gathered completion
    When the client asks for a completion of 12 tokens
    Then the answer is the whole text of the engine
    And the answer reports 12 tokens

  Scenario: The client reads a streamed completion
    When the client streams a completion of 12 tokens
    Then the answer is the whole text of the engine

  Scenario: The client reads a gathered chat completion
    When the client asks for a chat completion of 12 tokens
    Then the answer is the whole text of the engine

  Scenario: The client reads a streamed chat completion
    When the client streams a chat completion of 12 tokens
    Then the answer is the whole text of the engine

  Scenario: An unknown model is an error of the type that the client expects
    When the client asks for a completion of the model "absent"
    Then the client raises "NotFoundError" with the code "model_not_found"

  Scenario: An unknown key is an error of the type that the client expects
    When the client asks with an unknown key
    Then the client raises "AuthenticationError" with the code "unknown_key"

  Scenario: A prompt beyond the context limit is refused before it runs
    When the client asks for a completion of 500000 tokens
    Then the client raises "BadRequestError" with the code "context_length_exceeded"
    And the outcome is "not-run"
