Feature: The list of servers is kept by the machines themselves
  A server calls any machine; what it was told to be acknowledged holds on all machines in touch.

  Background:
    Given 11 machines of which 3 are voters, and 6 servers that call them

  Scenario: Draining is known everywhere before it is acknowledged
    When a server tells one machine that it is draining
    Then the call is acknowledged within 0.05 s
    And 0.01 s later every machine knows that it is draining

  Scenario: Draining while a voter is down
    When a voter goes down
    And a server tells one machine that it is draining
    Then the call is acknowledged within 0.7 s
    And 0.01 s later every machine knows that it is draining

  Scenario: Draining while a voter is cut off is not acknowledged by its side
    When one voter and one machine are cut off from the others
    And a server tells the cut-off machine that it is draining
    Then the call is answered as failed after 3.5 s and never acknowledged
    When the cut ends
    And the server tells the machine again
    Then the call is acknowledged within 1 s
    And 0.01 s later every machine knows that it is draining

  Scenario: A late call brings back nothing
    When a server tells one machine that it is gone
    And an earlier call of that server reaches another machine late
    And 5 s pass by
    Then no machine would send to it

  Scenario: A voter that starts empty is filled again
    When a voter starts again with nothing
    Then no other machine ever has a shorter list
    And the voter has the whole list 0.3 s after its start

  Scenario: All processes start again
    When all machines start again with nothing
    And 2.5 s pass by
    Then every machine has the whole list

  Scenario: An address is used again
    When a server dies without a word
    And 2 s pass by
    And a server of another service starts at its address
    Then 0.1 s later no machine would send to the dead one, and all know the new one

  Scenario: A dead server's last call arrives after its address was given away
    When a server dies without a word
    And 2 s pass by
    And a server of another service starts at its address
    And the dead server's last call reaches a machine late
    And 3 s pass by
    Then every machine would send to the new one and not to the dead one

  Scenario: Silence marks and does not remove
    When a server dies without a word
    And 8 s pass by
    Then every machine has it marked as silent and still in its list

  Scenario: When nearly all fall silent the hearing is at fault
    When 5 servers die without a word
    And 20 s pass by
    Then no machine has any of them marked as silent
