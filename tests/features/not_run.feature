@holds_not_run
Feature: What is said not to have run has not run

  Scenario: No engine serves the model
    Given a fleet of 2 engines and 1 entry
    When a caller asks for 20 tokens of a model that is not served
    Then it is refused and was not run
    And the engines have generated 0 tokens

  Scenario: All endpoints are down
    Given a fleet of 1 engine and 1 entry
    And requests of the standard rank wait for 2 seconds at most
    When the busiest engine is killed
    And a caller asks for 20 tokens
    Then it is refused and was not run

  Scenario: An order comes while the store is away
    Given a fleet of 1 order service and 1 entry
    When the store is cut off
    And order 1 is placed
    Then the order is refused by 503 as store_unavailable, which was not run
    And order 1 has run 0 times
    When the store is reachable again
    And order 1 is placed with the same key
    Then the order is done
    And order 1 has run 1 time

  Scenario: An order comes while its service is down
    Given a fleet of 1 order service and 1 entry
    When the service is killed
    And order 1 is placed
    Then the order is refused and was not run
    When the service starts again
    And order 1 is placed with the same key
    Then the order is done
    And order 1 has run 1 time

  @holds_once
  Scenario: The answer to an order is lost
    Given a fleet of 1 order service and 1 entry
    When the service runs the next order but does not answer
    And order 1 is placed
    Then the order is refused and may have run
    When order 1 is placed with the same key
    Then the order is refused and may have run
    And order 1 has run 1 time

  # fault: a part of the answer was stored as the outcome of the order
  @holds_once @holds_answers
  Scenario: The answer to an order is cut
    Given a fleet of 1 order service and 1 entry
    When the service runs the next order and its answer is cut
    And order 1 is placed
    Then the order is refused and may have run
    When order 1 is placed with the same key
    Then the order is refused and may have run
    And order 1 has run 1 time

  @holds_once
  Scenario: The answer of the store is lost
    Given a fleet of 1 order service and 1 entry
    When the store applies the next write but does not answer
    And order 1 is placed
    Then the order is done
    And order 1 has run 1 time

  @holds_once
  Scenario: One order is placed many times at once at two entries
    Given a fleet of 2 order services and 2 entries
    When order 1 is placed 20 times concurrently at both entries with the same key
    Then order 1 has run 1 time
    And no attempt was reported as not run

  @holds_once
  Scenario: An entry is lost while an order runs
    Given a fleet of 1 order service and 2 entries
    And each order takes 1 second
    When order 1 is placed in the background
    And the service has started it
    And the entry is killed
    And order 1 is placed with the same key at the other entry
    Then order 1 has run 1 time
    And no attempt was reported as not run
