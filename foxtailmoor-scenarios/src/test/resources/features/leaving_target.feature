Feature: A target that is leaving gets no new work after a few seconds
  Invariant 7. The instance list lags, so that the node of the leaving target refuses at once and
  tells the others.

  Background:
    Given a fleet with 3 lookup nodes and 1 order nodes
    And callers send patient lookups, which take 6 seconds at the target of rack-catalogue-1

  Scenario: The list says leaving long after the node was told
    Given the instance list lags by 20 seconds
    When the list is told that rack-catalogue-1 leaves and its node gets SIGTERM during its work
    Then the target of rack-catalogue-1 gets no new work from 3 seconds later until its node ends
    And every lookup got its whole and right answer

  Scenario: Only the list says leaving
    Given the instance list lags by 3 seconds
    When only the list says that rack-catalogue-1 leaves, and its node has heard it during its work
    Then the target of rack-catalogue-1 gets no new work from 3 seconds later until its node ends
    And every lookup got its whole and right answer
