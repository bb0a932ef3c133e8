Feature: A non-idempotent request runs at most once, and a refusal that says "not run" is true
  Invariants 5 and 6. Homes are killed, paused and restarted while callers retry their orders.

  Scenario: Homes are killed and paused under a load of orders with idempotency keys
    Given a fleet with 1 lookup nodes and 4 order nodes
    And the order nodes accept idempotency keys
    And callers send orders with idempotency keys and retry failed ones through the next node
    When 60 more requests have ended
    And the node order-desk-1 is killed
    And 60 more requests have ended
    And the node order-desk-1 is started again
    And the node order-desk-2 is paused
    And the load continues for 5 seconds
    And the node order-desk-2 is resumed
    And 60 more requests have ended
    And the node order-desk-3 is killed
    And the load continues for 3 seconds and stops
    Then each key was executed at most once
    And no attempt that was answered as not run was executed
    And every acknowledged order was executed
    And unanswered orders were retried, and orders succeeded after the last fault
