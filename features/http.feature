Feature: Bytes become requests and answers only if nobody can read them otherwise
  What a request ends with is told by its head alone, and an answer belongs to the request that it names.

  Scenario Outline: Bytes in which another request may hide
    When a client sends a request with <fields> and the body "<body>"
    Then nothing is handed over
    And the client gets 400

    Examples:
      | fields                                          | body                  |
      | Content-Length: 5 and Transfer-Encoding: chunked | 0\r\n\r\nGET / HTTP/1.1 |
      | Content-Length: 2 and Content-Length: 3         | abc                   |
      | Transfer-Encoding: chunked, identity            | 0\r\n\r\n             |
      | Transfer-Encoding: chunked                      | 5\r\nhello!\r\n0\r\n\r\n |
      | X-Folded: a\r\n b                               |                       |

  Scenario: A body past the limit is refused before it comes
    When a client sends a request with Content-Length: 5000000 and the body ""
    Then nothing is handed over
    And the client gets 413

  Scenario: A head without end
    When a client sends 20000 bytes of a head that does not end
    Then nothing is handed over
    And the client gets 431

  Scenario: A late answer in the place of the next one
    Given a call that waits for the answer to "7"
    When the server sends a whole answer to "6" and one to "7"
    Then the call is told of no answer, and that it may have run
    And the connection is not used again

  Scenario: A second answer behind the first
    Given a call that waits for the answer to "7"
    When the server sends a whole answer to "7" and one to "7"
    Then the call is told of a whole answer
    And the connection is not used again

  Scenario: Half an answer
    Given a call that waits for the answer to "7"
    When the server sends half an answer to "7" and ends the connection
    Then the call is told that it may have run
    And the connection is not used again

  Scenario: An answer without a length from a server that does not say that it will close
    Given a call that waits for the answer to "7"
    When the server sends an answer to "7" without a length and ends the connection
    Then the call is told of no answer, and that it may have run

  Scenario: A whole answer
    Given a call that waits for the answer to "7"
    When the server sends a whole answer to "7"
    Then the call is told of a whole answer
    And the connection is used again
