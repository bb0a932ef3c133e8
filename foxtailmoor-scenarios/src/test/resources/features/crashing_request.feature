Feature: A request that crashes its targets is refused
  The request is isolated after one crash and refused as POISONED, not run, at the limit of three
  crashes, while other requests go on.

  Scenario: A caller sends a crashing request again and again
    Given a fleet with 4 lookup nodes and 1 order nodes
    And callers send other lookups through every node
    When a caller sends a request that crashes its target until it is refused as poisoned
    Then after the spread of the counts every node refuses it as poisoned and not run
    And targets crashed at least 3 and at most 6 times, and no more after that
    And once its targets serve again the other lookups go on without an error
