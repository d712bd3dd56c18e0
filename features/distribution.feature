Feature: Committed configurations reach every machine
  Soon, whole, in order, and never backwards within a process's life.

  Background:
    Given 11 machines of which 3 hand out the configuration

  Scenario: Twenty changes in four seconds while one machine is cut off
    When a machine is cut off
    And 20 changes are committed in 4 s
    Then all other machines have each change within 0.05 s of its commit
    And the machine that is cut off knows that it may not be current
    When its links are up again
    Then it has the newest within 0.5 s, by differences
    And no machine ever went back

  Scenario: A machine that was away too long
    When a machine is cut off
    And 300 changes are committed in 6 s
    And its links are up again
    Then it has the newest within 1 s, as a whole
    And no machine ever went back

  Scenario: The source dies with a change under way
    When the source of some machines goes down
    And a change is committed at the same moment
    Then all machines that are up have it within 0.6 s

  Scenario: A voter that lags behind
    When a change is committed that one voter has not learned of
    And 3 s go by
    Then all other machines have the change
    And no machine ever went back

  Scenario: A process starts while changes come
    When 5 changes are committed in 1 s
    And a machine's process starts again
    Then it has the newest within 0.3 s and never served an older one

  Scenario: A configuration of megabytes over lossy links
    Given the links lose one message in twenty
    When a change of 2 megabytes is committed
    Then all machines that are up have it within 10 s
