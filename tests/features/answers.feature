@holds_answers
Feature: Each caller gets the whole answer to its own request

  Scenario: Two callers use the same key
    Given a fleet of 2 engines and 1 entry
    When caller anna asks for 100 tokens with key 7
    And caller bora asks for 100 tokens with key 7
    Then each caller has all 100 tokens of its own answer once
    And the answers are two generations

  Scenario: A key comes again with another body
    Given a fleet of 2 engines and 2 entries
    When caller anna asks for 200 tokens with key 7
    And 20 tokens have been received
    And caller anna sends key 7 again with another body at each entry
    Then both are refused by 422 as key_reused, which was not run
    And each caller has all 200 tokens of its own answer once

  Scenario: A key comes again while its answer runs
    Given a fleet of 2 engines and 2 entries
    When caller anna asks for 200 tokens with key 7
    And 20 tokens have been received
    And caller anna sends key 7 again at each entry
    Then each caller has all 200 tokens of its own answer once
    And the answers are one generation
    And the engines have generated 200 tokens

  Scenario: A key comes again after its answer has ended
    Given a fleet of 2 engines and 2 entries
    When caller anna asks for 100 tokens with key 7
    And all answers are complete
    And caller anna sends key 7 again at each entry
    Then each caller has all 100 tokens of its own answer once
    And the answers are one generation
    And the engines have generated 100 tokens

  Scenario: Fifty callers at once, and an engine is lost
    Given a fleet of 4 engines and 2 entries
    And each engine generates a token in 100 ms
    When 50 callers ask for 600 tokens each
    And each of them has 20 tokens
    And the busiest engine is killed
    And each engine generates a token in 10 ms
    Then each caller has all 600 tokens of its own answer once

  Scenario: A caller does not read another one's answer
    Given a fleet of 2 engines and 2 entries
    When caller anna asks for 200 tokens with key 7
    And 20 tokens have been received
    Then caller bora cannot attach to it at any entry
    And each caller has all 200 tokens of its own answer once

  @holds_generations
  Scenario: Agents come in reach while answers run
    Given a fleet of 4 engines and 0 entries
    And only one agent is reachable
    And an entry is started
    When 10 callers ask for 200 tokens each
    And each of them has 20 tokens
    And all agents are reachable again
    And another entry is started
    And both entries are connected to all agents
    And each of them sends its key again at each entry
    Then each caller has all 200 tokens of its own answer once
    And there is one generation for each caller
    And the engines have generated 2000 tokens

  # fault: a key was taken as free as its agents were silent, and callers lost their generations
  @holds_generations
  Scenario: Agents fall silent as keys come again
    Given a fleet of 4 engines and 2 entries
    When 10 callers ask for 200 tokens each
    And each of them has 20 tokens
    And all agents fall silent
    And each of them sends its key again at each entry
    And all agents speak again after 1.2 seconds
    Then each caller has all 200 tokens of its own answer once
    And there is one generation for each caller
