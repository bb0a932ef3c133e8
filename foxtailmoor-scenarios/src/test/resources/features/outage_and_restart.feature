Feature: No node goes back to an older version, and an accepted change never reverts
  Invariants 1 and 9. The platform is down, stale or returns older values while nodes are killed,
  paused and restarted.

  Scenario: The platform fails while nodes are killed, restarted and paused
    Given a fleet with 3 lookup nodes and 3 order nodes
    And version 2 is in force on all nodes, whose versions are monitored
    When the platform is down
    And the node rack-catalogue-1 is killed
    And the node order-desk-1 is killed
    And the node order-desk-2 is paused
    And the node rack-catalogue-1 is started again
    And the node order-desk-1 is started again
    Then the node rack-catalogue-1 becomes ready
    And the node order-desk-1 becomes ready
    When the platform answers again, with the values from before the last publication
    And the node order-desk-2 is resumed
    Then the node order-desk-2 continues to answer
    When the node rack-catalogue-2 is killed
    And the node rack-catalogue-2 is started again
    Then the node rack-catalogue-2 becomes ready
    When the platform is stale when version 3 is published
    And the node order-desk-3 is killed
    And the node order-desk-3 is started again
    Then the node order-desk-3 becomes ready
    When the platform has no fault
    Then version 4 is published and in force on all nodes within 6 seconds
    And no version decreased, and no node became ready with a lower version than the others
