Feature: Machines that know only three seeds come to know one another
  Each machine learns every machine whose disk counts, whatever becomes of the seeds.

  Background:
    Given 20 machines, 5 of them with disks, that start within 0.3 s

  Scenario: The first start
    When 1.1 s pass
    Then every machine knows all disks

  Scenario: Two of three seeds are down from the start
    Given the seeds are one machine and two addresses where nobody is
    When 1.1 s pass
    Then every machine knows all disks

  Scenario: Seeds that go down later are not needed
    Given 5 s have passed
    When the seeds go down
    And a machine without a disk starts again with seeds of which one is up
    And 3 s pass
    Then every machine has heard of the disks that are up, and of no others, within the last 2.5 s

  Scenario: The seeds change, and all are new
    Given 5 s have passed
    When all seeds are exchanged for new machines with disks
    And 2 s pass
    Then every machine has heard of the new disks within the last 2 s

  Scenario: Halves that were parted join again
    Given 5 s have passed
    When the machines are cut into halves for 60 s
    Then neither half knows the other's disks
    When the halves are joined
    And 6 s pass
    Then every machine knows all disks

  Scenario: A machine that is gone for good is forgotten and stays so
    Given 5 s have passed
    When a machine with a disk goes down
    And 45 s pass
    Then every machine knows the disks that are up and no others

  Scenario: A machine that lost its disk is another member
    Given 5 s have passed
    When a machine starts again with an empty disk and an earlier clock
    And 3 s pass
    Then every machine knows one disk at that address, the new one

  Scenario: The newest view of the chain travels along
    Given 5 s have passed
    When one machine knows of view 7 and another of view 5
    And 2 s pass
    Then every machine knows of view 7 and none went back to view 5
