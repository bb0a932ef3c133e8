Feature: Versions of the catalogue spread through the fleet

  Background:
    Given a fleet of 2 zones with 4 nodes each that has catalogue 5

  # Invariant 1
  Scenario: No proxy goes back to an older version
    When the source publishes catalogue 6
    Then every node has catalogue 6 within 6 seconds
    When the source publishes catalogue 5
    And all earlier messages arrive again
    And 10 seconds pass
    Then every node has catalogue 6 within 0 seconds
    And no node ever had an older catalogue after a newer one

  # Invariant 3
  Scenario: A version that arrives incomplete is not applied in part
    Given updates lose one changed part
    When the source publishes catalogue 6
    And 10 seconds pass
    Then some node still has catalogue 5
    And every node has the whole content of its catalogue
    When updates arrive complete
    Then every node has catalogue 6 within 6 seconds

  # Invariant 9
  Scenario: An accepted change stays in force although its readers die and the source falls back
    When the source publishes catalogue 6
    Then every node has catalogue 6 within 6 seconds
    When the nodes that read the source die
    And the source publishes catalogue 5
    And 30 seconds pass
    Then every node has catalogue 6 within 0 seconds
    And no node ever had an older catalogue after a newer one
