Feature: A refusal that says "not run" is true

  Background:
    Given a home with 1 slot

  Scenario: An order cancelled while it waits never runs
    Given order "a" runs
    And order "b" waits
    When the caller of order "b" cancels
    And the target answers order "a"
    Then order "b" has not run

  Scenario: An order that a crash may have interrupted is not called "not run"
    Given order "a" runs
    When the target crashes
    Then order "a" is answered with "OUTCOME_UNKNOWN"

  Scenario: A leaving home refuses new orders and finishes the waiting ones
    Given order "a" runs
    And order "b" waits
    When the home is leaving
    Then order "c" is answered with "LEAVING"
    When the target answers order "a"
    Then order "b" runs
