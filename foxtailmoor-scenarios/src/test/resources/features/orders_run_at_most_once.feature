Feature: A non-idempotent order runs at most once

  Background:
    Given a home with 1 slot

  Scenario: A repeat joins the running order and a later one gets the same answer
    Given order "a" runs with key 1
    And the caller repeats key 1
    When the target answers order "a"
    And the caller repeats key 1
    Then key 1 has run once
    And every repeat of key 1 got the same answer

  Scenario: A home that was paused while an order waited does not run it
    Given order "a" runs
    And order "b" with key 1 waits
    When the home is paused for 10 seconds
    And the target answers order "a"
    Then order "b" is answered with "HOME_UNAVAILABLE"
    And order "b" has not run

  Scenario: A restarted home does not run a key that its earlier run may have run
    Given order "a" runs with key 1
    When the home restarts
    And the caller repeats key 1
    Then the last repeat is answered with "OUTCOME_UNKNOWN"
    And key 1 has run once
