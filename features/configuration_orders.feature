Feature: Orders of the operator
  What the operator sends is taken whole or refused whole, and what was taken is never refused when it is sent again.

  Background:
    Given a configuration of version 5 is in force

  Scenario: A document that was cut short
    When the operator puts version 7 on top of 5, cut short
    Then the order is refused as invalid: "not whole JSON"
    And version 5 stays in force unchanged

  Scenario: A route to a service that nobody knows
    When the operator puts version 7 on top of 5 with a route to the service "gone"
    Then the order is refused as invalid: "route-table[2]: found "gone", wanted a known service"
    And version 5 stays in force unchanged

  Scenario: Two routes with the same host and prefix
    When the operator puts version 7 on top of 5 with a second route for "/r0/"
    Then the order is refused as invalid: "route-table[2]: same host and prefix as route-table[0]"
    And version 5 stays in force unchanged

  Scenario: Two tenants with the same key
    When the operator puts version 7 on top of 5 with a second tenant for "key-a"
    Then the order is refused as invalid: "tenants[2].api-keys[0]: the same key as one of tenants[0]"
    And version 5 stays in force unchanged

  Scenario: Weights that add up to 0
    When the operator puts version 7 on top of 5 with a route whose weights are 0
    Then the order is refused as invalid: "route-table[2]: wanted weights that add up to more than 0"
    And version 5 stays in force unchanged

  Scenario: A time-out of 0
    When the operator puts version 7 on top of 5 with a route whose time-out is 0
    Then the order is refused as invalid: "route-table[2].timeout-ms: found 0, wanted a number above 0"
    And version 5 stays in force unchanged

  Scenario: A version that does not rise
    When the operator puts version 5 on top of 5
    Then the order is refused as invalid: "version: found 5, wanted one above 5"
    And version 5 stays in force unchanged

  Scenario: Several things wrong at once
    When the operator puts version 4 on top of 5 with a route whose time-out is 0
    Then the order is refused as invalid: "version: found 4, wanted one above 5"
    And the order is refused as invalid: "route-table[2].timeout-ms: found 0, wanted a number above 0"

  Scenario: Taking away a service that is in use
    When the operator patches version 5 to 7, deleting the service "model"
    Then the order is refused as invalid: "route-table[r0]: found "model", wanted a known service"
    And version 5 stays in force unchanged

  Scenario: The acknowledgement is lost and the order is sent again
    When the operator puts version 7 on top of 5
    And the same order is sent again
    Then the order is acknowledged with version 7
    And version 7 is in force

  Scenario: An order is sent again after later ones
    When the operator puts version 7 on top of 5
    And the operator remembers that order
    And the operator patches version 7 to 9, adding the route "late"
    And the remembered order is sent again
    Then the order is acknowledged with version 7
    And version 9 is in force

  Scenario: The head falls before it acknowledges
    When the operator puts version 7 on top of 5
    And the other replica becomes the head
    And the same order is sent again
    Then the order is acknowledged with version 7

  Scenario: The head falls before its update reaches anyone
    When the operator puts version 7 on top of 5, of which no other replica hears
    And the other replica becomes the head
    And the same order is sent again
    Then the order is acknowledged with version 7
    And version 7 is in force

  Scenario: Two operators build on the same version
    When the operator puts version 7 on top of 5
    And the operator patches version 5 to 7, adding the route "rival"
    Then the order is refused because version 7 is current
    And version 7 is in force

  Scenario: An order without a base
    When the operator puts version 7 on top of nothing
    Then the order is refused for want of a base
    And version 5 stays in force unchanged
