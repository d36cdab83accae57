Feature: What a target replies reaches the caller whole, or the request fails at once

  Scenario: A limit on what callers may send does not replace larger replies by 502
    Given a preset that limits the bodies of requests to 1024 bytes
    When a target replies with 90000 bytes
    Then the caller gets the whole reply

  Scenario Outline: A reply whose status HTTP does not define is no interim reply, and its request fails at once
    When a target replies with status <status> and a body that ends <end>
    Then an order and a lookup get an unknown outcome at once
    And the order has run once, and the place at the target is free

    Examples:
      | status | end                                |
      | 000    | after its length                   |
      | 000    | with the last chunk                |
      | 000    | with the connection                |
      | 099    | after its length                   |
      | 600    | after its length                   |
      | 600    | with the last chunk                |
      | 600    | with the connection                |
      | 999    | after its length                   |

  Scenario: Interim replies are skipped, and a body behind one makes the reply malformed
    Then a final reply behind interim ones is delivered
    And an interim reply with a body fails its request at once

  Scenario: A reply from another node whose status HTTP does not define is not handed on
    Then the attempt of such a reply has an unknown outcome
