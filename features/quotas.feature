Feature: Quotas over all proxies
  A tenant's limit holds over all proxies together, whatever happens to them, and what it asks below its limit is not
  refused.

  Scenario Outline: The limit holds
    Given a fleet of <proxies> proxies, and a tenant limited to <rate> tokens a second
    When the tenant asks 7.5 times its limit
    And <trouble>
    And the clients go on for 10 s
    Then no window holds more than the rule allows

    Examples:
      | proxies | rate   | trouble                                       |
      | 3       | 20000  | a third of the proxies is cut off for 6 s     |
      | 11      | 60000  | a third of the proxies is cut off for 6 s     |
      | 11      | 60000  | a third of the proxies is frozen for 4 s      |
      | 11      | 60000  | the head is frozen for 4 s                    |
      | 11      | 60000  | all proxies are restarted three times         |
      | 11      | 280000 | the head moves five times                     |
      | 30      | 280000 | the head is killed                            |
      | 30      | 280000 | messages are lost, doubled and late           |
      | 11      | 280000 | the limit is halved                           |

  Scenario Outline: A tenant inside its limit is not refused
    Given a fleet of <proxies> proxies, and a tenant limited to <rate> tokens a second
    When the tenant asks 0.77 times its limit
    And <trouble>
    And the clients go on for 10 s
    Then less than <part> % of what it asked was refused

    Examples:
      | proxies | rate    | trouble                                 | part |
      | 11      | 60000   | nothing happens                         | 2    |
      | 83      | 2000000 | nothing happens                         | 2    |
      | 11      | 280000  | the view changes under the same head    | 2    |
      | 11      | 280000  | the head moves                          | 6    |
      | 11      | 280000  | the head is killed                      | 20   |
      | 11      | 280000  | half of the proxies is restarted        | 4    |

  Scenario: A proxy that is cut off goes on with its own part
    Given a fleet of 4 proxies, and a tenant limited to 100000 tokens a second
    When proxy 3 is cut off for 30 s
    And the clients go on for 20 s
    And requests of 1000 tokens come to proxy 3 alone for 8 s
    Then it runs about 12500 tokens a second

  Scenario: A proxy that starts has no burst
    Given a fleet of 4 proxies, and a tenant limited to 100000 tokens a second
    When proxy 3 is cut off for 30 s
    And proxy 3 is restarted
    Then proxy 3 refuses a request of 1000 tokens
