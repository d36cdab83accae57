Feature: Callers that do not behave neither end a node nor keep it from others
  What they send is legal; most stop just short of the end and stay open.

  Scenario Outline: A crowd that sends <payload> neither ends nor hangs a node
    Given a node with 20 MB for bodies, which may open 700 descriptors
    When <count> callers at once each send <payload> and stay open
    Then it has grown by less than 48 MB
    And it runs, and has fewer than 650 descriptors open
    And it serves an order once they have gone

    Examples:
      | count | payload                                                |
      | 200   | a head of short lines without its end                  |
      | 300   | a whole head of short lines                            |
      | 200   | a head of short lines and a body without its last byte |
      | 600   | a body of 16 kB in chunks of 1 byte without its end    |
      | 500   | a body of 256 kB without its last byte                 |
      | 200   | a body of 1 MB without its last byte                   |
      | 200   | a body of 1 MB in chunks of 4 kB without its end       |
      | 400   | a body of 1 MB in chunks of 1 byte without its end     |
      | 900   | nothing                                                |

  Scenario: A single request at the limits is served in calm
    Given a node with 20 MB for bodies, which may open 700 descriptors
    Then it serves a head of 16 kB of short lines, and a body of 1 MB in chunks of 1 byte

  Scenario: Callers whose data takes much work leave the event loop to others between their reads
    Given 40 callers that have each sent 16 kB of a body in chunks of 1 byte
    When each sends 64 kB more at once
    Then at most 64 kB of it are processed in any turn of the event loop, and all of it in the end

  Scenario: An upload that is shed while it waits for memory is refused once
    Then an upload that waits to be told to continue, and is shed meanwhile, is refused once

  Scenario: The lines of a long head are those that were sent, also where they stand last
    Then a head of 3 to 300 lines is read as it was sent, with its length in the last line
