Feature: A chain of replicas keeps what it has acknowledged
  The configuration is on the disks of a chain of machines. Whatever a machine, its disk or its links do, an order
  that was acknowledged is there afterwards, once, and a read never tells an older state.

  Scenario Outline: A machine goes while an order is under way
    Given a chain of <count> replicas of which <tolerance> may be lost
    When an order is sent, and the <place> loses power <ms> ms later
    And the order is sent again until it is acknowledged
    Then that took less than 2 s
    And the order was done once
    And what was acknowledged is read

    Examples:
      | count | tolerance | place  | ms |
      | 3     | 1         | head   | 1  |
      | 3     | 1         | head   | 2  |
      | 3     | 1         | head   | 4  |
      | 3     | 1         | head   | 8  |
      | 3     | 1         | tail   | 2  |
      | 3     | 1         | tail   | 4  |
      | 5     | 2         | middle | 2  |
      | 5     | 2         | middle | 4  |
      | 5     | 2         | tail   | 4  |
      | 8     | 2         | middle | 3  |

  Scenario Outline: A disk stalls or fills up while an order is under way
    Given a chain of 3 replicas of which 1 may be lost
    When the <place>'s disk <trouble>
    And an order is sent until it is acknowledged
    Then that took less than 2 s
    And the <place> that was is out of the chain
    When the disk works again
    Then within 3 s all replicas are in the chain

    Examples:
      | place  | trouble  |
      | head   | stalls   |
      | middle | stalls   |
      | tail   | stalls   |
      | head   | fills up |
      | tail   | fills up |

  Scenario: A machine that has lost its disk does not vote as the one that it was
    Given a chain of 3 replicas of which 1 may be lost
    And the tail has been down while an order was acknowledged
    When the head and the middle lose power, and the head its disk
    And the tail and the machine without its old disk are back alone
    Then nothing is acknowledged or read for 3 s
    When the middle is back
    Then what was acknowledged is read
    And within 4 s all replicas are in the chain
    And the lost disk is no voter

  Scenario Outline: A machine is replaced by an empty one at another address
    Given a chain of 3 replicas of which 1 may be lost
    When the <place> is taken away for good, and an empty machine comes under <name>
    Then within 3 s the empty machine is a voter in the chain
    And what was acknowledged is read
    When the head is taken away for good, and an empty machine comes under another name
    Then within 3 s the empty machine is a voter in the chain
    And what was acknowledged is read

    Examples:
      | place  | name         |
      | head   | its name     |
      | head   | another name |
      | middle | its name     |
      | tail   | another name |

  Scenario: A head that was frozen wakes
    Given a chain of 3 replicas of which 1 may be lost
    When the head freezes for 3 s
    And an order is sent until it is acknowledged
    And the frozen machine wakes
    Then it answers no read with what it knew
    And its own orders are not acknowledged on the old state
    And within 3 s all replicas are in the chain

  Scenario: Two orders on the same version, and the head changes between them
    Given a chain of 3 replicas of which 1 may be lost
    When two orders on the same version are sent, and the head loses power 3 ms later
    And both are sent again until they are answered
    Then one is acknowledged and the other one is told of the newer version

  Scenario Outline: All machines go right after an acknowledgement
    Given a chain of <count> replicas of which <tolerance> may be lost
    When an order is sent until it is acknowledged
    And all lose power, and <lost> of them their disks
    Then what was acknowledged is read
    And within 5 s all replicas are in the chain

    Examples:
      | count | tolerance | lost |
      | 1     | 0         | 0    |
      | 3     | 1         | 0    |
      | 3     | 1         | 1    |
      | 5     | 2         | 2    |
      | 6     | 2         | 2    |
      | 8     | 2         | 2    |

  Scenario: A majority is lost for a while
    Given a chain of 3 replicas of which 1 may be lost
    When two of them go down
    Then nothing is acknowledged or read for 3 s
    When they are back
    Then what was acknowledged is read
    And within 3 s all replicas are in the chain

  Scenario: A head whose process ends hands over at once
    Given a chain of 3 replicas of which 1 may be lost
    When the head resigns
    And an order is sent until it is acknowledged
    Then that took less than 0.2 s
