Feature: Checked documents

  Scenario: A document with an unknown field is refused with its place
    Given a document with the unknown field "wieght" in its first organisation
    When the document is decoded
    Then the error names the path "$.organisations[0]"
    And the error mentions "wieght"
