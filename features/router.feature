Feature: The data plane keeps its word
  Clients are told the truth about what ran, get only whole and true answers, and servers get only what clients sent.

  Background:
    Given a configured router with three engines of each service

  Scenario: An unknown key
    When a user sends a request with the key "nobody's" to "/once/x"
    Then the user gets 401
    And no engine has been sent anything

  Scenario: No route
    When a user asks "/nowhere/x"
    Then the user gets 404
    And no engine has been sent anything

  Scenario: A client that names a tenant and an instance itself
    When a user sends a request as tenant "b" for instance "other" to "/once/x"
    Then the engine is told tenant "a"
    And the engine is told its own instance
    And the key is nowhere in what the engine gets

  Scenario: A late extra answer in the place of the next one
    When a user asks "/once/x"
    And the connection turns out to hold an answer to another request
    Then the user gets 502
    And 1 engine has been sent the request

  Scenario: Another engine has taken over the address
    When a user asks "/once/x"
    And the engine answers 421
    Then 2 engines have been sent the request
    When the engine answers 200 with "done"
    Then the user gets 200 with "done"
    And the first engine gets nothing more

  Scenario: A stream that may be resumed is cut inside an event
    When a user asks "/resume/x"
    And the engine sends the events 1 to 2 and half of event 3
    And the connection breaks
    Then the second engine is asked to continue after event 2
    When the engine sends the events 3 to 4
    And the engine ends the stream
    Then the user has the events 1 to 4, once each, and the first engine's stamp
    And the answer is complete

  Scenario: A stream that may not be resumed is cut
    When a user asks "/talk/x"
    And the engine sends the events 1 to 2 and half of event 3
    And the connection breaks
    Then the answer is torn off
    And 1 engine has been sent the request

  Scenario: All servers are full
    When a user asks "/once/x"
    And every engine answers 503 without running it
    Then the user gets 503 with a time to come back
    And no stamp of an engine

  Scenario: All servers are full, and the retry budget is used up
    Given an empty retry budget
    When a user asks "/once/x"
    And the engine answers 503 without running it
    Then the user gets 503 with a time to come back
    And 1 engine has been sent the request

  Scenario: One server failed a request, the others are full
    When a user asks "/again/x"
    And the connection breaks
    And every engine answers 503 without running it
    Then the user gets 502

  Scenario: The client leaves
    When a user asks "/again/x"
    And the user leaves
    Then the engine's call is cancelled
    And nothing is under way

  Scenario: A server that is about to leave
    When a user asks "/once/x"
    And the engine is told to be draining
    And 20 more requests come
    Then none of them goes to the first engine
    When the first engine answers 200 with "kept"
    Then the user gets 200 with "kept"
