Feature: A request that crashes its targets is refused
  The request is isolated after one crash and refused as POISONED, not run, at the limit of three
  crashes, while other requests are served.

  Scenario: A caller sends a crashing request repeatedly
    Given a fleet with 4 lookup nodes and 1 order nodes
    And callers send other lookups through every node
    When a caller sends a request that crashes its target until it is refused as poisoned
    Then once the crash counts have propagated every node refuses it as poisoned and not run
    And targets crashed at least 3 and at most 6 times, and no more after that
    And once its targets have recovered the other lookups continue without an error
