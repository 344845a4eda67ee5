@holds_once @holds_not_run
Feature: An order that may not be repeated runs at most once

  Each response is checked on arrival: not_run requires no run so far, done and ran exactly one.

  Scenario Outline: An entry is lost between the claim and the send
    Given a fleet of 2 order services and 2 entries
    When order 1 is sent at entry 0, which is <what> while its claim is written
    And order 1 is sent at entry 1
    Then the last effect is done
    When <back>
    And order 1 is sent at entry 1
    Then the last effect is done
    And order 1 has run 1 time

    Examples:
      | what   | back                                        |
      | paused | entry 0 wakes                               |
      | killed | the background order ends without an answer |

  Scenario: A paused entry wakes past the deadline, with the store's answer lost before
    Given a fleet of 2 order services and 2 entries
    When the store applies the next write but does not answer
    And order 1 is sent at entry 0, which is paused while its claim is written
    And order 1 is sent at entry 1
    Then the last effect is done
    When entry 0 wakes
    And the background order ends
    Then order 1 has run 1 time

  Scenario: The store goes away while an order runs
    Given a fleet of 2 order services and 2 entries
    And each order takes 1 second
    When order 1 is sent at entry 0 in the background
    And the service has started it
    And the store is cut off
    And order 1 is sent at entry 1
    Then the last effect is done
    When the background order ends
    Then the last effect is done
    When the store is reachable again
    And order 1 is sent at entry 1
    Then the last effect is done
    And order 1 has run 1 time

  Scenario: The store goes away after an order, and a new order comes
    Given a fleet of 2 order services and 2 entries
    When order 1 is sent at entry 0
    And the store is cut off
    And order 1 is sent at entry 1
    Then the last effect is done
    When order 2 is sent at entry 1
    Then the last effect is not_run
    When the store is reachable again
    And order 2 is sent at entry 0
    Then the last effect is done
    And order 1 has run 1 time
    And order 2 has run 1 time

  Scenario: The agent that ran an order is killed and the store goes away
    Given a fleet of 1 order service and 2 entries
    When order 1 is sent at entry 0 in the background
    And the service has started it
    And the background order ends
    And the agent of the busy service is killed
    And the store is cut off
    And order 1 is sent at entry 1
    Then the last effect is may_have_run
    When the killed agent starts again
    And order 1 is sent at entry 1
    Then the last effect is may_have_run
    And order 1 has run 1 time

  # fault: a new agent reported "never" for what the one before it had run
  Scenario: An entry starts after the agent that ran an order was replaced, and the store goes away
    Given a fleet of 1 order service and 2 entries
    When order 1 is sent at entry 0
    Then the last effect is done
    When the agent of the first service is restarted
    And entry 1 is restarted
    And the store is cut off
    And order 1 is sent at entry 1
    Then the last effect is may_have_run
    When the store is reachable again
    And order 1 is sent at entry 1
    Then the last effect is done
    And order 1 has run 1 time

  Scenario: The agent is killed while an order runs, and starts again
    Given a fleet of 1 order service and 2 entries
    And each order takes 1 second
    When order 1 is sent at entry 0 in the background
    And the service has started it
    And the agent of the busy service is killed
    And the background order ends
    Then the last effect is may_have_run
    When the killed agent starts again
    And order 1 is sent at entry 1
    Then the last effect is may_have_run
    And order 1 has run 1 time

  Scenario: All services refuse connections after an order ran
    Given a fleet of 2 order services and 2 entries
    When order 1 is sent at entry 0
    And all services refuse connections
    And order 1 is sent at entry 1
    Then the last effect is done
    When order 2 is sent at entry 1
    Then the last effect is not_run
    When all services accept connections again
    And order 2 is sent at entry 1
    Then the last effect is done
    And order 2 has run 1 time

  Scenario: An entry that leaves gets an order again that has run
    Given a fleet of 1 order service and 2 entries
    And each order takes 1 second
    When order 1 is sent at entry 0
    And order 2 is sent at entry 0 in the background
    And the service has started it
    And entry 0 is asked to stop
    And order 1 is sent at entry 0
    Then the last effect is done
    When order 3 is sent at entry 0
    Then the last effect is not_run
    And the order in the background is done
    And order 1 has run 1 time

  Scenario: The link to the agent is lost while an order runs, and heals late
    Given a fleet of 1 order service and 2 entries
    And each order takes 1 second
    When order 1 is sent at entry 0 in the background
    And the service has started it
    And the link to the busy agent is cut
    And the background order ends
    Then the last effect is may_have_run
    When the link to the busy agent heals
    And order 1 is sent at entry 1
    Then the last effect is done
    And order 1 has run 1 time

  Scenario: An order is held by a frozen link and let go late
    Given a fleet of 2 order services and 2 entries
    When the claim is written while the links to the agents freeze
    And the background order ends
    Then the last effect is may_have_run
    When the links to the agents thaw
    And order 1 is sent at entry 1
    Then order 1 has run 1 time

  Scenario: An entry is killed between the claim and the send, and the store goes away
    Given a fleet of 2 order services and 2 entries
    When order 1 is sent at entry 0, which is killed while its claim is written
    And the store is cut off
    And order 1 is sent at entry 1
    Then the last effect is not_run
    When the store is reachable again
    And order 1 is sent at entry 1
    Then the last effect is done
    And order 1 has run 1 time

  Scenario: The store is slow
    Given a fleet of 2 order services and 2 entries
    When the store answers after 0.5 seconds
    And order 1 is sent at entry 0
    Then the last effect is done
    When order 1 is sent at entry 1
    Then the last effect is done
    And order 1 has run 1 time

  Scenario: The name of the service is percent-encoded
    Given a fleet of 1 order service and 1 entry
    When order 1 is sent with the service's name percent-encoded
    Then the last effect is done
    And the service saw the path /orders

  Scenario: Stock lookups continue while one service is stuck
    Given a fleet of 2 order services and 1 entry
    And stock lookups are idempotent and hedged
    When a stock lookup is sent while the first service is stuck
    Then each of them is answered
