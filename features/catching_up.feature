Feature: Hundreds of changes with a member away
  A member that comes back has every change before it counts again, whatever it held before, and leads with nothing less.

  Scenario Outline: 500 changes with a member away, which is restarted at change 100, 300 and 499
    Given a chain of 3 replicas with 3 proxies, and version 5 in force
    When the power of the <place> goes
    And 500 changes are acknowledged, and it is started for <s> s at change 100, 300 and 499
    And it is started, and within 5 s all replicas are in the chain
    And the others are cut off one after the other until it leads
    Then it leads with all 500 changes
    And each replica's disk holds them after a loss of power of all

    Examples:
      | place  | s    |
      | head   | 0.3  |
      | head   | 1.0  |
      | middle | 0.1  |
      | middle | 0.6  |
      | tail   | 0.3  |
      | tail   | 3.0  |

  Scenario: Its process ends in the midst of writing the state that it was handed
    Given a chain of 3 replicas with 3 proxies, and version 5 in force
    When the power of the tail goes
    And 300 changes are acknowledged, and it stays away
    And it is started, and loses power while it writes the state on a slow disk
    And it is started, and within 5 s all replicas are in the chain
    And the others are cut off one after the other until it leads
    Then it leads with all 300 changes

  Scenario: A disk of an old life comes back after its place was taken
    Given a chain of 3 replicas with 3 proxies, and version 5 in force
    When the power of the tail goes
    And an empty machine comes, and takes its place
    And 300 changes are acknowledged, and it stays away
    And the old machine is started again
    Then within 3 s it has no vote, and leads nothing
    And 20 more changes are acknowledged

  Scenario: A disk is put into another machine
    Given a chain of 3 replicas with 3 proxies, and version 5 in force
    When the power of the tail goes
    And 300 changes are acknowledged, and it stays away
    And its disk is put into a machine at another address, and the old machine gets an empty one
    Then within 6 s the machine with the disk is in the chain, and the old machine has no vote
    And 20 more changes are acknowledged

  Scenario Outline: The state takes longer to hand over than changes come
    Given a chain of replicas with a state that takes <s> s on a link
    When the power of the tail goes
    And changes come every 50 ms for 5 s, and after 1 s the tail is started
    Then it is in the chain <within> s after its start
    And orders never waited longer than <wait> s

    Examples:
      | s    | within | wait |
      | 0.3  | 3      | 3    |
      | 0.72 | 4      | 4    |
      | 1.5  | 6      | 6    |

  Scenario: The one with the newest state is not the one that stands up
    Given a chain of replicas with a state that takes 0.72 s on a link
    When the power of the tail goes
    And changes come every 50 ms for 2 s, and the tail stays away
    And the power of the head goes, and the tail is started
    Then orders are taken within 8 s
    And nothing that was acknowledged is lost
