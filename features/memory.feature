Feature: The bodies that a node holds stay within its memory
  A body without room waits for a short time or is refused; no process dies of one.

  Scenario: Uploads within the limits never end a node or the requests beside them
    Given a node with 40 MB for bodies
    When 12 uploads of 8 MB are sent to it at once, and small orders beside them
    Then it has grown by less than 64 MB
    And each upload was served or refused as not run, and each small order was served
    And the metrics say that no body is held any more

  Scenario: An upload with an idempotency key takes its own memory and no more
    Then the digest of a large body is that of earlier versions, at a fraction of its memory

  Scenario: An upload waits for room, and is refused as not run if there is none in time
    Then a second upload is served if the first ends soon, and refused if it does not
    And orders on other connections are served meanwhile

  Scenario: An upload that can never fit is refused, and its connection goes on
    Then an upload above the memory for bodies is refused, with a length or in chunks
    And one that waits to be told to continue is refused at once

  Scenario: Replies without end cost their share of the memory and no more
    Then 8 replies without end at once fail within the memory for bodies
    And bodies that grow beside each other take little more than the 64 MB they hold

  Scenario: A body from a peer without room is refused, and the frames behind it are served
    Then a body from a peer without room is refused as not run and held by nobody
    And a body whose attempt is cancelled before its end never runs
