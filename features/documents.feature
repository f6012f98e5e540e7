Feature: Checked documents

  Scenario: An unknown field is rejected with its path
    Given a document with the unknown field "wieght" in its first organisation
    When the document is decoded
    Then the error names the path "$.organisations[0]"
    And the error mentions "wieght"

  Scenario Outline: A problem in an example is reported with its line
    Given the example "<file>" with "<old>" replaced by "<new>"
    When the document is checked
    Then a problem mentions "<message>" on the line of "<new>"

    Examples:
      | file                   | old                         | new                   | message                    |
      | lathercraft.jsonc      | "domain": "eu-central-c"    | "domain": "eu-west-9" | one of: eu-central-a       |
      | lathercraft.jsonc      | "id": "soap-lm-02"          | "id": "soap-lm-01"    | is already used            |
      | chaussee-boreale.jsonc | "region": "qc-est"          | "regoin": "qc-est"    | unknown field `regoin`     |
      | chaussee-boreale.jsonc | "max_batch": 48             | "max_batch": -48      | `int` >= 1                 |
      | chaussee-boreale.jsonc | "timeout_s": 60             | "timeout_s": "60"     | allowed: `float`           |
