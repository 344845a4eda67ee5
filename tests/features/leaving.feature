@holds_leaving
Feature: A leaving endpoint gets no new work after a few seconds

  Scenario Outline: An endpoint leaves under load, with a host list that lags and the store away
    Given a fleet of 3 engines and 2 entries, with a delayed host list
    When callers send requests to each entry without a pause
    And <how>
    And its agent has received the drain
    And the store is cut off for all processes
    Then it gets no new work after 3 seconds
    And nothing runs on it
    And every answer is complete

    Examples:
      | how                                      |
      | the first endpoint is drained by settings |
      | the first host is drained by settings    |

  Scenario: An agent is asked to stop under load, while the store is away
    Given a fleet of 3 engines and 2 entries, with a delayed host list
    When callers send requests to each entry without a pause
    And the store is cut off for all processes
    And the first agent is asked to stop
    Then it gets no new work after 3 seconds
    And every answer is complete

  Scenario: The platform lists a host as leaving, and as staying again
    Given a fleet of 3 engines and 2 entries, with an up-to-date host list
    When callers send requests to each entry without a pause
    And the platform lists the first host as leaving
    Then it gets no new work after 3 seconds
    When the platform lists the first host as staying
    Then it gets new work again
    And every answer is complete

  Scenario: An agent dies while it leaves and starts again while the store is away
    Given a fleet of 3 engines and 2 entries, with a delayed host list
    When callers send requests to each entry without a pause
    And the first endpoint is drained by settings
    And its agent has received the drain
    And the store is cut off for all processes
    And its agent is killed and starts again
    Then it gets no new work after 3 seconds
    And every answer is complete

  Scenario Outline: An entry is frozen while an endpoint leaves, and wakes
    Given a fleet of 3 engines and 2 entries, with an up-to-date host list
    When callers send requests to each entry without a pause
    And callers send requests to entry 0 without a pause
    And entry 1 is frozen
    And <how>
    Then it gets no new work after 3 seconds
    When the store is cut off for all processes
    And entry 1 is resumed
    And callers send requests to entry 1 without a pause
    Then it gets no new work after 3 seconds
    And every answer is complete

    Examples:
      | how                                            |
      | the first endpoint is drained by settings      |
      | the platform lists the first host as leaving   |
      | the first agent is asked to stop               |

  Scenario: Long answers are moved when a drain by settings reaches its limit
    Given a fleet of 2 engines and 1 entry
    When 6 callers ask for 400 tokens each
    And each of them has 20 tokens
    And the first endpoint is drained by settings, with a limit of 1 second
    Then each caller has all 400 tokens of its own answer once
    And nothing runs on it
