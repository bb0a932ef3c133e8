Feature: Every planned stop is a graceful shutdown that interrupts no request
  Invariant 8. A leaving node refuses new requests for its target as not run, and the entries
  route them to other targets.

  Scenario: A node gets SIGTERM under a constant load of lookups and orders with keys
    Given a fleet with 3 lookup nodes and 2 order nodes
    And the order nodes accept idempotency keys
    And callers send lookups and orders with idempotency keys through every node
    When the node rack-catalogue-1 gets SIGTERM
    Then the process of rack-catalogue-1 exits within 30 seconds with exit code 0
    When the load continues for 1 seconds and stops
    Then every request got its complete and correct answer
