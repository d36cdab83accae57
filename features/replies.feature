Feature: What a target replies reaches the caller whole, or the request fails at once

  Scenario: A limit on what callers may send does not replace larger replies by 502
    Given a preset that limits the bodies of requests to 1024 bytes
    When a target replies with 90000 bytes
    Then the caller gets the whole reply
