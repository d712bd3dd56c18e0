Feature: An answer goes to the call that it belongs to, and nothing is sent twice that may not be
  Servers answer twice, late, early, in part and without a length, over connections that are used again and again.
  A client gets the whole answer to its own request or the truth; a call that may have run is not sent again.

  Background:
    Given two servers of each service, with used connections that rest

  Scenario Outline: An answer over a used connection
    When a <kind> is asked
    Then it went out on a used connection
    When its server answers "mine"
    Then its client gets "mine"
    And nothing was sent twice

    Examples:
      | kind             |
      | call             |
      | repeatable call  |
      | stream           |
      | resumable stream |

  Scenario Outline: An extra answer right behind the answer
    When a <kind> is asked
    And its server answers "mine" and the same again
    Then its client gets "mine"
    When another <kind> is asked of the same server
    Then it went out on a new connection
    When its server answers "another"
    Then its client gets "another"

    Examples:
      | kind             |
      | call             |
      | repeatable call  |
      | stream           |
      | resumable stream |

  Scenario Outline: An extra answer that comes while the connection rests
    When a <kind> is asked
    And its server answers "mine"
    And later its server answers the same again
    And another <kind> is asked of the same server
    Then it went out on a new connection

    Examples:
      | kind             |
      | call             |
      | repeatable call  |
      | stream           |
      | resumable stream |

  Scenario Outline: An extra answer that has come and was not read yet
    When a <kind> is asked
    And its server answers "mine"
    And an extra answer lies unread on the connection
    And another <kind> is asked of the same server
    Then it went out on a new connection

    Examples:
      | kind             |
      | call             |
      | resumable stream |

  Scenario Outline: An extra answer that crosses the next request, which may not run twice
    When a <kind> is asked
    And its server answers "mine"
    And another <kind> is asked of the same server
    And its server answers the request before it once more
    Then its client gets 502 without a stamp
    And it was sent once
    And its connection is closed

    Examples:
      | kind   |
      | call   |
      | stream |

  Scenario Outline: An extra answer that crosses the next request, which may run again
    When a <kind> is asked
    And its server answers "mine"
    And another <kind> is asked of the same server
    And its server answers the request before it once more
    Then it is sent to the other server
    When its server answers "another"
    Then its client gets "another"

    Examples:
      | kind             |
      | repeatable call  |
      | resumable stream |

  Scenario Outline: An answer that names no request, or two
    When a call is asked
    And its server answers with <ids>
    Then its client gets 502 without a stamp
    And it was sent once

    Examples:
      | ids                |
      | no id              |
      | its id twice       |
      | its id and another |

  Scenario: An answer after the deadline
    When a call is asked
    And the server takes 3 s
    Then its client gets 504 without a stamp
    When its server answers "late"
    Then its client got nothing more
    And its connection is closed

  Scenario: An answer after its client has left
    When a call is asked
    And its client leaves
    And its server answers "late"
    Then its client got nothing more
    And its connection is closed

  Scenario Outline: An answer without a length that ends with the connection
    When a <kind> is asked
    And its server answers "whole" without a length and closes
    Then its client gets "whole"
    And nothing was sent twice

    Examples:
      | kind            |
      | call            |
      | repeatable call |

  Scenario: An answer without a length from a server that doesn't say that it will close
    When a call is asked
    And its server answers "whole" without a length or a word, and closes
    Then its client gets 502 without a stamp
    And it was sent once

  Scenario: An answer without a length that is reset on the way
    When a call is asked
    And its server answers "half" without a length and resets the connection
    Then its client gets 502 without a stamp
    And it was sent once

  Scenario: An answer without a length that is reset on the way, to a call that may run again
    When a repeatable call is asked
    And its server answers "half" without a length and resets the connection
    Then it is sent to the other server
    When its server answers "whole"
    Then its client gets "whole"

  Scenario Outline: A success before the request is out
    Given requests go out slowly
    When a <kind> is asked
    And its server answers "early"
    Then its client gets "early"
    And it was sent once
    And its connection is closed

    Examples:
      | kind             |
      | call             |
      | repeatable call  |
      | stream           |
      | resumable stream |

  Scenario Outline: A success for another request before the request is out
    Given requests go out slowly
    When a <kind> is asked
    And its server answers for another request
    Then its client gets 502 without a stamp
    And it was sent once
    And its connection is closed

    Examples:
      | kind   |
      | call   |
      | stream |

  Scenario Outline: A connection that breaks before the request is out
    Given requests go out slowly
    When a <kind> is asked
    And its server resets the connection
    Then its client gets 502 without a stamp
    And it was sent once

    Examples:
      | kind   |
      | call   |
      | stream |

  Scenario: A deadline before the request is out
    Given requests go out slowly
    When a call is asked
    And the server takes 3 s
    Then its client gets 504 without a stamp
    And it was sent once

  Scenario: A refusal before the request is out
    Given requests go out slowly
    When a call is asked
    And its server says that it did not run it
    Then it is sent to the other server
    And the connection to the first is closed
    When the rest goes out and its server answers "done"
    Then its client gets "done"

  Scenario: A promise without the server's word is none
    When a call is asked
    And its server answers 503 without saying that it did not run it
    Then its client gets 502 without a stamp
    And it was sent once

  Scenario Outline: A reset before a byte of the answer
    When a <kind> is asked
    And its server resets the connection
    Then its client gets 502 without a stamp
    And it was sent once

    Examples:
      | kind   |
      | call   |
      | stream |

  Scenario Outline: Half an answer that told its length
    When a <kind> is asked
    And its server sends half of an answer and <end>
    Then its client gets 502 without a stamp
    And it was sent once

    Examples:
      | kind | end                   |
      | call | closes the connection |
      | call | resets the connection |

  Scenario: A stream that is cut inside an event and may not be resumed
    When a stream is asked
    And its server sends events 1 to 2 and half of the next
    And its server resets the connection
    Then its answer is torn off
    And it was sent once

  Scenario: A stream that is cut inside an event and may be resumed
    When a resumable stream is asked
    And its server sends events 1 to 2 and half of the next
    And its server resets the connection
    Then it is sent to the other server
    When its server sends events 1 to 4 and the end
    Then its client has the events 1 to 4, once each

  Scenario: A resumed stream that is answered for another request
    When a resumable stream is asked
    And its server sends events 1 to 2 and half of the next
    And its server resets the connection
    And its server sends events 3 to 4 for another request
    Then its answer is torn off
    And its client has the events 1 to 2, once each
