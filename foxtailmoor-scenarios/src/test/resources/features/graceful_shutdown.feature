Feature: Every planned stop is a graceful shutdown that cuts no request
  Invariant 8. A leaving node refuses new work for its target as not run, and the entries send that
  work elsewhere.

  Scenario: A node gets SIGTERM under a steady load of lookups and keyed orders
    Given a fleet with 3 lookup nodes and 2 order nodes
    And the order nodes take keys
    And callers send lookups and keyed orders through every node
    When the node rack-catalogue-1 gets SIGTERM
    Then the process of rack-catalogue-1 ends within 30 seconds with exit code 0
    When the load goes on for 1 seconds and ends
    Then every request got its whole and right answer
