Feature: No route points at a resource that its proxy lacks

  Scenario: A route whose service is missing is not replaced by a wider route
    Given a node with the catalogue version 1 and the services "rack-catalogue"
    And a route "/" to "rack-catalogue"
    And a route "/orders" to "order-desk"
    Then a request for "/racks/7" goes to "rack-catalogue"
    And a request for "/orders/7" is refused as "NO_ROUTE"

  Scenario: A replaced version is kept until the last request that uses it ends
    Given a node with the catalogue version 1 and the services "rack-catalogue"
    And a route "/" to "rack-catalogue"
    When a request begins
    And the catalogue version 2 without services comes into force
    Then the request still reaches "rack-catalogue"
    And version 1 is dropped when the request ends

  Scenario: An older version does not replace a newer one
    Given a node with the catalogue version 5 and the services "rack-catalogue"
    Then the catalogue version 4 without services does not come into force
