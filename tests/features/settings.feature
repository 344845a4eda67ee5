@holds_settings
Feature: An accepted setting is in force everywhere within seconds and never reverts

  Scenario: An operator writes a setting, and looks where it is in force
    Given a fleet of 2 engines and 2 entries, with an up-to-date host list
    When an operator writes rank urgent with order 4
    Then it is in force everywhere within 5 seconds
    And the status shows that it is in force on 4 of 4

  Scenario: Operators race for the same setting
    Given a fleet of 2 engines and 2 entries, with an up-to-date host list
    When 5 operators write rank urgent concurrently
    Then one write is accepted and the others are reported as conflicts
    And it is in force everywhere within 5 seconds
    And the setting in force is the accepted one
    And it has not changed since

  Scenario: Reads of the store lag
    Given a fleet of 2 engines and 2 entries, with an up-to-date host list
    When an operator writes rank urgent with order 4
    Then it is in force everywhere within 5 seconds
    When reads of the store lag
    And an operator writes rank urgent with order 5 over what was accepted
    And entry 1 is restarted
    Then it is in force at entry 1 within 5 seconds
    When reads of the store are fresh again
    Then it is in force everywhere within 5 seconds
    And the status shows that it is in force on 4 of 4

  Scenario: One process alone reaches the store
    Given a fleet of 2 engines and 2 entries, with an up-to-date host list
    And only entry 0 reaches the store
    When an operator writes rank urgent with order 4
    Then it is in force everywhere within 5 seconds
    When an operator writes rank urgent with order 5
    Then it is in force everywhere within 5 seconds
    When an operator deletes rank urgent
    Then it is in force everywhere within 5 seconds
    When the store is reachable by all processes
    And the store is cut off for all processes
    Then it has not changed since

  Scenario: Processes start while the store is away
    Given a fleet of 2 engines and 2 entries, with an up-to-date host list
    When an operator writes rank urgent with order 4
    Then it is in force everywhere within 5 seconds
    When the store is cut off for all processes
    And agent 1 is restarted
    Then it is in force at agent 1 within 5 seconds
    When entry 1 is restarted
    Then it is in force at entry 1 within 5 seconds

  Scenario: Processes start while the store is away, after a deletion
    Given a fleet of 2 engines and 2 entries, with an up-to-date host list
    When ann owns the ranks
    And an operator writes rank urgent with order 4
    Then it is in force everywhere within 5 seconds
    When an operator deletes rank urgent
    Then it is in force everywhere within 5 seconds
    When the store is cut off for all processes
    And agent 1 is restarted
    And entry 1 is restarted
    Then the restarted processes have loaded the settings, without the rank

  Scenario: A bad value is in the table
    Given a fleet of 2 engines and 2 entries, with an up-to-date host list
    When an operator writes rank urgent with order 4
    Then it is in force everywhere within 5 seconds
    When somebody writes a bad value into the table
    Then the status shows that all 4 refuse it: expected a whole number
    And it is in force nowhere
    When an operator writes rank urgent with order 5
    Then it is in force everywhere within 5 seconds

  Scenario: Somebody writes a setting of another team
    Given a fleet of 2 engines and 2 entries, with an up-to-date host list
    When an operator writes rank urgent with order 4
    And ann owns the ranks
    Then the command refuses what bea writes
    When bea, who does not own it, writes rank urgent into the table
    Then the status shows that all 4 refuse it: bea
    And it is in force nowhere
