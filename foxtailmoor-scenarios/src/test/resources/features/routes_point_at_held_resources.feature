Feature: No route points at a resource that its proxy lacks

  Scenario: A route whose service is missing does not fall back to a less specific route
    Given a node with catalogue version 1 and service "rack-catalogue"
    And a route "/" to "rack-catalogue"
    And a route "/orders" to "order-desk"
    Then a request for "/racks/7" goes to "rack-catalogue"
    And a request for "/orders/7" is refused as "NO_ROUTE"

  Scenario: A replaced version is retained until the last request that uses it ends
    Given a node with catalogue version 1 and service "rack-catalogue"
    And a route "/" to "rack-catalogue"
    When a request begins
    And catalogue version 2 without services is applied
    Then the request still reaches "rack-catalogue"
    And version 1 is released when the request ends

  Scenario: An older version does not replace a newer one
    Given a node with catalogue version 5 and service "rack-catalogue"
    Then catalogue version 4 without services is not applied
