Feature: A non-idempotent order runs at most once

  Background:
    Given a home with 1 slot

  Scenario: A repeat joins the running order and a later repeat gets the same answer
    Given order "a" with key 1 is running
    And the caller repeats key 1
    When the target answers order "a"
    And the caller repeats key 1
    Then key 1 has run once
    And every repeat of key 1 got the same answer

  Scenario: A home that was paused while an order was queued does not run it
    Given order "a" is running
    And order "b" with key 1 is queued
    When the home is paused for 10 seconds
    And the target answers order "a"
    Then order "b" is refused as "HOME_UNAVAILABLE"
    And order "b" has not run

  Scenario: A restarted home does not run a key that it may have run before the restart
    Given order "a" with key 1 is running
    When the home restarts
    And the caller repeats key 1
    Then the last repeat is refused as "OUTCOME_UNKNOWN"
    And key 1 has run once
