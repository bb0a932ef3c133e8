Feature: Every caller gets the complete answer to its own request
  Invariant 4. A truncated answer is reported as an error and never passed on as complete.

  Scenario: Targets close connections in the middle of answers and nodes are killed
    Given a fleet with 4 lookup nodes and 1 order nodes
    And callers fetch large answers, and targets truncate some answers
    When 60 more requests have ended
    And the node rack-catalogue-1 is killed
    And 60 more requests have ended
    And the node rack-catalogue-2 is killed
    And the load continues for 2 seconds and stops
    Then no caller accepted a truncated answer or the answer to another request
    And targets and nodes truncated answers, and large answers arrived complete
