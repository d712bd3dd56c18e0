Feature: A request's way through the logs
  Each node writes eliot's JSON lines. One request is read as one tree, whichever files it stands in.

  Scenario: The tree of one request among others
    Given a log of node "edge-1" with a request "a1" that is sent to "i-1" and answered 200
    And a log of node "edge-2" with a request "b2" that is sent to "i-2" and answered 503
    When the logs are read for "a1"
    Then the exit code is 0
    And what is shown reads
      """
      task  edge-1
      └── request  attempt_id=a1  -> succeeded  status=200
          └── attempt  instance=i-1  -> succeeded
      """

  Scenario: A process that was killed leaves an action without its end
    Given a log of node "edge-1" with a request "a1" that is sent to "i-1" and cut short
    When the logs are read for "a1"
    Then the exit code is 0
    And what is shown reads
      """
      task  edge-1
      └── request  attempt_id=a1  -> no end in these files
          └── attempt  instance=i-1  -> no end in these files
      """

  Scenario: A line cut in half and lines of other programs are passed over
    Given a log of node "edge-1" with a request "a1" that is sent to "i-1" and answered 200
    And the log of "edge-1" ends with half a line
    When the logs are read for "a1"
    Then the exit code is 0
    And it says "1 lines are no log records"

  Scenario: A request that nobody has seen
    Given a log of node "edge-1" with a request "a1" that is sent to "i-1" and answered 200
    When the logs are read for "zz"
    Then the exit code is 1
    And it says "mentions zz"
