Feature: Operators race, answers are lost, and the head changes
  Of all orders on one version one is acknowledged; what was taken is acknowledged again or left without an answer,
  whoever is asked, in every life of every process.

  Background:
    Given a chain of 3 replicas with 3 proxies, and version 5 in force

  Scenario: Two operators race, and the head loses power before either is told
    When orders "a" and "b" on version 5 are sent through two proxies, and the head loses power 3 ms later
    And both are sent again through the third proxy until they are answered
    Then one of them is acknowledged and the other one is refused

  Scenario Outline: The answer of the winner is lost, and the head is gone when it asks again
    When order "a" on version 5 is acknowledged, and its answer is lost
    And <what>
    And order "b" on version 5 is sent until it is answered
    And order "a" is sent again until it is answered
    Then order "a" is acknowledged and order "b" is refused

    Examples:
      | what                                                              |
      | the head loses power                                              |
      | the head freezes for 3 s                                          |
      | the head is cut off from the other replicas                       |
      | all replicas lose power, and the head its disk                    |
      | the head's disk stalls                                            |

  Scenario: An order is sent again after three others, through a proxy that was cut off meanwhile
    When the first proxy is cut off from all replicas
    And order "a" on version 5 is acknowledged, and its answer is lost
    And 3 more orders are acknowledged
    And the first proxy is in touch again
    And order "a" is sent again through the first proxy until it is answered
    Then order "a" is acknowledged

  Scenario: An order is sent again to one that was the head when it was taken
    When the head freezes for 4 s, and the first proxy hears of no other
    And order "a" on version 5 is acknowledged, and its answer is lost
    And 3 more orders are acknowledged
    And the last of them is sent again through the first proxy while the frozen one wakes
    And order "a" is sent again through the first proxy until it is answered
    Then order "a" is acknowledged
    And the last one was not refused

  Scenario: Two operators send the very same bytes
    When order "a" on version 5 is sent through two proxies at once
    Then both are acknowledged with the same version
    And the configuration was changed once

  Scenario: A process ends with an order under way, and the next order comes to the process after it
    When the head is cut off from the other replicas
    And order "a" on version 5 is sent through the first proxy
    And the first proxy's process ends and starts again
    And order "b" on version 5 is sent through the first proxy
    And the replicas are joined again
    And both are sent again through the third proxy until they are answered
    Then one of them is acknowledged and the other one is refused
    And no proxy has told another order's answer

  Scenario: A process ends with an order under way, and a read comes to the process after it
    When the head is cut off from the other replicas
    And order "a" on version 5 is sent through the first proxy
    And the first proxy's process ends and starts again
    And the configuration is read through the first proxy
    And the replicas are joined again
    Then the read tells a configuration

  Scenario: An order is known in every life
    When order "a" on version 5 is acknowledged, and its answer is lost
    And 300 more orders are acknowledged
    And each replica in turn loses power, one of them its disk
    And order "a" is sent again until it is answered
    Then order "a" is acknowledged

  Scenario Outline: Storms of operators, kills, cuts, freezes and lost answers
    When three operators send orders for 20 s in the storm of seed <seed>
    Then nothing of what they were told is contradicted
    And more than 20 orders were acknowledged

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
