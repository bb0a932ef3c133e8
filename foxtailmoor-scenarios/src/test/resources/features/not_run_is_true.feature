Feature: A refusal that says "not run" is true

  Background:
    Given a home with 1 slot

  Scenario: An order cancelled while queued never runs
    Given order "a" is running
    And order "b" is queued
    When the caller cancels order "b"
    And the target answers order "a"
    Then order "b" has not run

  Scenario: An order that a crash may have interrupted is not refused as not run
    Given order "a" is running
    When the target crashes
    Then order "a" is refused as "OUTCOME_UNKNOWN"

  Scenario: A leaving home refuses new orders and completes the queued ones
    Given order "a" is running
    And order "b" is queued
    When the home is leaving
    Then order "c" is refused as "LEAVING"
    When the target answers order "a"
    Then order "b" is running
