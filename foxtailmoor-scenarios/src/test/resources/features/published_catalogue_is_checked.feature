Feature: A catalogue with faults is never published
  Every fault is reported at once, with the entry and its owner.

  Scenario: A route to a service that does not exist, by an unknown owner
    Given the catalogue
      """
      [[owner]]
      id = "brochures"
      contact = "brochures@example.org"

      [[class]]
      id = "lookup"
      owner = "brochures"
      weight = 1
      queue_limit = 10

      [[region]]
      id = "doo"
      owner = "brochures"
      zones = ["sapporo-a"]
      holds_source = true

      [[route]]
      id = "rack-lookup"
      owner = "nobody"
      class = "lookup"
      service = "rack-catalogue"
      method = "GET"
      path_prefix = "/rack-catalogue"
      idempotent = true
      deadline_milliseconds = 1000
      body_limit_bytes = 1024
      """
    When the catalogue is checked
    Then a fault of "rack-lookup" mentions "rack-catalogue"
    And a fault of "rack-lookup" mentions "nobody"
