@holds_stop
Feature: A planned stop cuts no request

  Scenario: An agent is stopped during answers
    Given a fleet of 3 engines and 1 entry
    When 12 callers ask for 200 tokens each
    And each of them has 20 tokens
    And the busiest agent is asked to stop
    Then each caller has all 200 tokens of its own answer once
    And the stopped process has ended with status 0
    And no token was generated twice

  Scenario: Long answers are moved when an agent's drain reaches its limit
    Given a fleet of 3 engines and 1 entry, with a drain limit of 0.5 seconds
    When 6 callers ask for 400 tokens each
    And each of them has 20 tokens
    And the busiest agent is asked to stop
    Then the stopped process has ended with status 0
    And each caller has all 400 tokens of its own answer once

  Scenario: An entry is stopped during answers
    Given a fleet of 2 engines and 2 entries
    When 12 callers ask for 200 tokens each
    And each of them has 20 tokens
    And the entry is asked to stop
    Then the entry is no longer ready
    And each caller has all 200 tokens of its own answer once
    And the stopped process has ended with status 0

  @holds_leaving
  Scenario: New work comes while an agent drains
    Given a fleet of 2 engines and 1 entry
    When 6 callers ask for 300 tokens each
    And each of them has 20 tokens
    And the busiest agent is asked to stop
    And it has logged that it is draining
    And 6 callers ask for 50 tokens each
    Then each caller has all tokens of its own answer once
    And the stopped agent started nothing after that

  @holds_once
  Scenario: An agent is stopped while an order runs
    Given a fleet of 2 order services and 1 entry
    And each order takes 1 second
    When order 1 is placed in the background
    And the service has started it
    And the agent of the busy service is asked to stop
    Then the order in the background is done
    And order 1 has run 1 time
    And the stopped process has ended with status 0
