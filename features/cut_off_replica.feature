Feature: A machine that is cut off for twenty seconds misleads nobody
  What is asked of it meanwhile, and at its return, is answered 503 or as the others would answer it: no order is confirmed
  or refused by itself, nothing old is read back, no server's leave is confirmed. The others go on without it.

  Scenario Outline: Orders and reads at the one that is cut off, and at the others
    Given <count> control machines of which <tolerance> may be lost, and an operator
    When the <who> is cut off <how> for 20 s, and orders and reads go to it and to the others all the while
    Then each call at it ends within 3.7 s, and none tells anything but the truth
    And the others confirm an order within <gap> s of the cut, and all orders from then on
    When the cut ends, and what it left open is sent to it again
    Then each of these orders is confirmed within 4 s, once
    And within 3 s all control machines are in the chain again

    Examples: one to lose
      | count | tolerance | who                     | how                                  | gap |
      | 3     | 1         | head                    | from all machines                    | 2   |
      | 3     | 1         | middle                  | from all machines                    | 2   |
      | 3     | 1         | tail                    | from all machines                    | 2   |
      | 3     | 1         | one that was asked last | from all machines                    | 2   |
      | 3     | 1         | head                    | from the other control machines only | 2   |
      | 3     | 1         | middle                  | from the other control machines only | 2   |
      | 3     | 1         | tail                    | from the other control machines only | 2   |
      | 3     | 1         | head                    | so that it only hears                | 2   |
      | 3     | 1         | tail                    | so that it only hears                | 2   |
      | 3     | 1         | head                    | so that it only is heard             | 2.5 |
      | 3     | 1         | middle                  | so that it only is heard             | 2   |
      | 3     | 1         | proxy                   | from all machines                    | 0.1 |

    Examples: two to lose
      | count | tolerance | who    | how                                  | gap |
      | 5     | 2         | head   | from all machines                    | 2   |
      | 5     | 2         | middle | from the other control machines only | 2   |
      | 8     | 2         | head   | from the other control machines only | 2   |
      | 8     | 2         | tail   | so that it only is heard             | 2   |

  Scenario: A head that is cut from most, and in touch with one, clients and operator
    Given 5 control machines of which 2 may be lost, and an operator
    When the head and one more are cut off from the other three for 20 s, and orders and reads go to both sides
    Then each call at it ends within 3.7 s, and none tells anything but the truth
    And the others confirm an order within 2 s of the cut, and all orders from then on

  Scenario: A server that leaves tells the one that is cut off
    Given 11 machines of which 3 are voters, and 6 servers that call them
    When one voter and one machine are cut off from the others
    And for 20 s a server tells the cut-off machine each 4 s that it is draining
    Then each of these calls is answered as failed after 3.5 s and none is acknowledged
    When the cut ends
    And the server tells the machine again
    Then the call is acknowledged within 1 s
    And 0.01 s later every machine knows that it is draining

  Scenario: Clients of a proxy that is cut off are served as before, and it says what it is
    Given 11 machines of which 3 hand out the configuration
    When a machine is cut off
    And 20 changes are committed in 20 s
    Then all other machines have each change within 0.05 s of its commit
    And the machine that is cut off knows that it may not be current
    And it has served the version of before all the while
    When its links are up again
    Then it has the newest within 0.5 s, by differences
    And no machine ever went back

  Scenario: A proxy in touch with the one replica that is cut off takes nothing old from it
    Given 11 machines of which 3 hand out the configuration
    When one that hands out and one machine are cut off together
    And 20 changes are committed in 20 s
    Then the machine that is cut off knows that it may not be current
    When its links are up again
    Then it has the newest within 0.5 s, by differences
    And no machine ever went back
