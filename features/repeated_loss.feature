Feature: Loss, repair, and loss again at once
  Each time the disks that have lasted longest are lost, as many as may be lost at once; the next are lost as soon as those
  that came for them have had their time, 4 s, until every first disk has been replaced twice. Orders come all the while.

  Scenario Outline: Until every first disk has been replaced twice
    Given a chain of <count> replicas of which <tolerance> may be lost
    When the <tolerance> oldest disks are lost again and again: <how>
    Then each time all that was acknowledged was on more disks in place than may be lost
    And each time an order was confirmed within <gap> s
    And what was acknowledged is read
    And within 3 s all replicas are in the chain
    And the lost disk is no voter

    Examples:
      | count | tolerance | how                                                                | gap |
      | 3     | 1         | they come back empty                                               | 3   |
      | 3     | 1         | they come back empty, and all others lose power                    | 3   |
      | 3     | 1         | their machines are taken away, empty ones come 1 s later           | 3   |
      | 3     | 1         | empty machines come 4 s before theirs are told to end              | 2   |
      | 3     | 1         | empty machines come while theirs are told to end                   | 2   |
      | 5     | 2         | they come back empty                                               | 3   |
      | 5     | 2         | they come back empty, and all others lose power                    | 3   |
      | 5     | 2         | their machines are taken away, empty ones come 1 s later           | 3   |
      | 5     | 2         | empty machines come 4 s before theirs are told to end              | 2   |
      | 5     | 2         | empty machines come while theirs are told to end                   | 2   |
      | 8     | 2         | they come back empty                                               | 3   |
      | 8     | 2         | they come back empty, and all others lose power                    | 3   |
      | 8     | 2         | their machines are taken away, empty ones come 1 s later           | 3   |
      | 8     | 2         | empty machines come 4 s before theirs are told to end              | 2   |

  Scenario Outline: The chain is as short as stalled disks make it, and as many disks as may be lost are
    Given a chain of <count> replicas of which <tolerance> may be lost
    And all but <least> of them are out of the chain while an order is acknowledged
    When <tolerance> disks of the chain are lost right after it
    And the others are well again
    Then what was acknowledged is read within 6 s

    Examples:
      | count | tolerance | least |
      | 3     | 1         | 2     |
      | 5     | 2         | 3     |
      | 8     | 2         | 5     |

  Scenario Outline: More is lost than may be, and nothing false is told
    Given a chain of <count> replicas of which <tolerance> may be lost
    And all but <least> of them are out of the chain while an order is acknowledged
    When <least> disks of the chain are lost right after it
    And the others are well again
    Then nothing is acknowledged or read for 5 s

    Examples:
      | count | tolerance | least |
      | 3     | 1         | 2     |
      | 5     | 2         | 3     |
      | 8     | 2         | 5     |
