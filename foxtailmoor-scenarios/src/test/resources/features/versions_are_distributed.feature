Feature: Catalogue versions are distributed to all nodes

  Background:
    Given a fleet of 2 zones with 4 nodes each that has catalogue 5

  # Invariant 1
  Scenario: No proxy reverts to an older version
    When the source publishes catalogue 6
    Then every node has catalogue 6 within 6 seconds
    When the source publishes catalogue 5
    And all earlier messages are delivered again
    And 10 seconds pass
    Then every node has catalogue 6 within 0 seconds
    And no node ever replaced a catalogue with an older one

  # Invariant 3
  Scenario: An incomplete version is not partly applied
    Given one changed part is missing from every update
    When the source publishes catalogue 6
    And 10 seconds pass
    Then some node still has catalogue 5
    And every node has the complete content of its catalogue
    When updates are complete again
    Then every node has catalogue 6 within 6 seconds

  # Invariant 9
  Scenario: An accepted change stays in force when its readers die and the source returns an older version
    When the source publishes catalogue 6
    Then every node has catalogue 6 within 6 seconds
    When the nodes that read the source are killed
    And the source publishes catalogue 5
    And 30 seconds pass
    Then every node has catalogue 6 within 0 seconds
    And no node ever replaced a catalogue with an older one
