@holds_tokens
Feature: No token of an answer is missing or repeated

  Scenario Outline: An engine is lost in the middle of an answer
    Given a fleet of 3 engines and 1 entry
    When a caller asks for 200 tokens
    And 40 tokens have been received
    And <what>
    Then the caller has all 200 tokens once

    Examples:
      | what                                   |
      | the engine that runs it is killed      |
      | the engine that runs it turns deaf     |
      | the engine that runs it is paused      |
      | the agent that runs it is killed       |
      | the agent that runs it is paused       |
      | the engine and its agent are killed    |
      | the entry's link to its agent is cut   |
      | the entry's link to its agent freezes  |
      | the agent's link to its engine is cut  |
      | the agent's link to its engine freezes |

  Scenario Outline: A lost link comes back while the answer continues elsewhere
    Given a fleet of 3 engines and 1 entry
    When a caller asks for 400 tokens
    And 40 tokens have been received
    And <lost>
    And 150 tokens have been received
    And <back>
    Then the caller has all 400 tokens once

    Examples:
      | lost                                  | back                       |
      | the entry's link to its agent is cut  | the entry's link is healed |
      | the entry's link to its agent freezes | the entry's link thaws     |
      | the agent that runs it is paused      | the paused agent wakes     |
      | the engine that runs it is paused     | the paused engine wakes    |

  Scenario: Two engines are lost one after the other
    Given a fleet of 3 engines and 1 entry
    When a caller asks for 300 tokens
    And 40 tokens have been received
    And the engine that runs it is killed
    And 120 tokens have been received
    And the engine that runs it is killed
    Then the caller has all 300 tokens once

  Scenario: Many answers run on the engine that is lost
    Given a fleet of 3 engines and 1 entry
    When 20 callers ask for 200 tokens each
    And each of them has 40 tokens
    And the busiest engine is killed
    Then each caller has all 200 tokens of its own answer once

  Scenario: An answer with a seed is resumed
    Given a fleet of 2 engines and 1 entry
    When a caller asks for 200 tokens with seed 7
    And 40 tokens have been received
    And the engine that runs it is killed
    Then the caller has all 200 tokens once

  Scenario Outline: The entry is lost and the caller resumes at another one
    Given a fleet of 3 engines and 2 entries
    When a caller asks for 300 tokens
    And 40 tokens have been received
    And <what>
    And the caller attaches at the other entry
    Then the caller has all 300 tokens once

    Examples:
      | what                                |
      | the entry is killed                 |
      | the engine and the entry are killed |

  @holds_generations
  Scenario: The entry and the agent that hold an answer are lost together
    Given a fleet of 3 engines and 2 entries
    When a caller asks for 300 tokens
    And 40 tokens have been received
    And the agent and the entry are killed
    And the caller attaches at the other entry
    Then the caller has all 300 tokens once, or an error that the generation is lost

  Scenario: The caller's connection breaks and it attaches at the same entry
    Given a fleet of 2 engines and 1 entry
    When a caller asks for 300 tokens
    And 40 tokens have been received
    And the caller's connection breaks
    And the caller attaches at the same entry
    Then the caller has all 300 tokens once

  Scenario: The store is away from the first token to the last
    Given a fleet of 3 engines and 1 entry
    When the platform is killed
    And a caller asks for 200 tokens
    And 40 tokens have been received
    And the engine that runs it is killed
    Then the caller has all 200 tokens once
