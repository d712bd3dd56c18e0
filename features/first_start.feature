Feature: The first start agrees on one set of voters
  Three seeds are named to all machines; which machines have a disk nobody is told.

  Scenario Outline: Machines start in any order
    Given <count> empty machines of which <tolerance> may be lost, with seeds <seeds>
    When they start within 0.3 s in the order of draw <draw>
    Then within 2 s one view is in force, and all of them vote in it

    Examples:
      | count | tolerance | seeds             | draw |
      | 3     | 1         | among them        | 1    |
      | 3     | 1         | among them        | 2    |
      | 3     | 1         | without disks     | 3    |
      | 5     | 2         | among them        | 4    |
      | 8     | 2         | among them        | 5    |
      | 8     | 2         | without disks     | 6    |

  Scenario: All processes are killed in the midst of it
    Given 3 empty machines of which 1 may be lost, with seeds among them
    When they start within 0.3 s in the order of draw 1
    And all are killed after 1.1 s and are back within a second, not told that it is the first start
    Then within 8 s one view is in force, and all of them vote in it

  Scenario: The first of the seeds never comes
    Given 3 empty machines of which 1 may be lost, with seeds without disks
    When they start, and the first of the seeds is cut off from all
    Then within 8 s one view is in force, and all of them vote in it
