Feature: A non-idempotent request runs at most once, and a refusal that says "not run" is true
  Invariants 5 and 6. Homes of keys die, pause and come back while callers repeat their orders.

  Scenario: Homes are killed and paused under keyed orders
    Given a fleet with 1 lookup nodes and 4 order nodes
    And the order nodes take keys
    And callers send keyed orders and repeat each unanswered one with its key elsewhere
    When 60 more requests have ended
    And the node order-desk-1 is killed
    And 60 more requests have ended
    And the node order-desk-1 is started again
    And the node order-desk-2 is paused
    And the load goes on for 5 seconds
    And the node order-desk-2 is continued
    And 60 more requests have ended
    And the node order-desk-3 is killed
    And the load goes on for 3 seconds and ends
    Then each key ran at most once
    And no attempt that was answered as not run had run
    And every acknowledged order ran
    And orders were repeated, and orders ran after the last fault
