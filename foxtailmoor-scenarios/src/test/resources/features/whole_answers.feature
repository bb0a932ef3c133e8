Feature: Every caller gets the whole answer to its own request
  Invariant 4. A cut answer becomes an error and never a short answer.

  Scenario: Targets close in the middle of answers and nodes are killed
    Given a fleet with 4 lookup nodes and 1 order nodes
    And callers fetch large answers, and targets cut some answers half way
    When 60 more requests have ended
    And the node rack-catalogue-1 is killed
    And 60 more requests have ended
    And the node rack-catalogue-2 is killed
    And the load goes on for 2 seconds and ends
    Then no caller took a short or foreign answer for its own
    And answers were cut by targets and by nodes, and large ones arrived whole
