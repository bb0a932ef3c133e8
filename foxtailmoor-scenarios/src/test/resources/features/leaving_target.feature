Feature: A leaving target gets no new requests after a few seconds
  Invariant 7. The instance list is delayed, so the node of the leaving target refuses new
  requests at once and notifies the other nodes.

  Background:
    Given a fleet with 3 lookup nodes and 1 order nodes
    And callers send long-deadline lookups, which take 6 seconds at the target of rack-catalogue-1

  Scenario: The instance list reports the leaving target long after its node got SIGTERM
    Given the instance list is delayed by 20 seconds
    When rack-catalogue-1 is listed as leaving and its node gets SIGTERM while its target is busy
    Then the target of rack-catalogue-1 gets no new requests from 3 seconds later until its node exits
    And every lookup got its complete and correct answer

  Scenario: Only the instance list reports the leaving target
    Given the instance list is delayed by 3 seconds
    When rack-catalogue-1 is only listed as leaving and its node learns it while its target is busy
    Then the target of rack-catalogue-1 gets no new requests from 3 seconds later until its node exits
    And every lookup got its complete and correct answer
