#include <map>
#include <vector>

#include "switchsaddle/command_line/command_line.h"

namespace switchsaddle::command_line {

namespace {

/** Completions of one subcommand, as lists of words separated by spaces. */
struct Level {
  /** Names of the subcommands from the root, separated by slashes. */
  std::string path;
  /** Subcommands and options. */
  std::string words;
  std::string subcommands;
  /** Options that take a value. */
  std::string valued_options;
};

void append(std::string& words, const std::string& word) {
  words += (words.empty() ? "" : " ") + word;
}

void appendOptions(const CLI::App& app, Level& level) {
  for (const CLI::Option* option : app.get_options()) {
    for (const std::string& name : option->get_lnames()) {
      append(level.words, "--" + name);
      if (option->get_items_expected_max() > 0) {
        append(level.valued_options, "--" + name);
      }
    }
  }
}

/** Appends the level of a command and those of its subcommands. */
void collectLevels(const CLI::App& app, const std::string& path, std::vector<Level>& levels) {
  Level level;
  level.path = path;
  for (const CLI::App* sub : app.get_subcommands({})) {
    append(level.words, sub->get_name());
    append(level.subcommands, sub->get_name());
  }
  appendOptions(app, level);
  levels.push_back(std::move(level));
  for (const CLI::App* sub : app.get_subcommands({})) {
    collectLevels(*sub, path + "/" + sub->get_name(), levels);
  }
}

/** @return a case statement that prints the list of the level whose path is $1. */
std::string caseStatement(const std::vector<Level>& levels, std::string Level::*words) {
  std::string text = "  case \"$1\" in\n";
  for (const Level& level : levels) {
    if (!(level.*words).empty()) {
      text += "    '" + level.path + "') echo '" + level.*words + "' ;;\n";
    }
  }
  return text + "  esac\n";
}

std::string shellFunction(const std::string& name, const std::string& body) {
  return name + "() {\n" + body + "}\n";
}

/**
 * @return the body of the completion function. It descends the command tree by the words before the
 * cursor, skips the values of options, and completes from the words of the level reached.
 */
std::string completionBody(const std::string& prefix, const std::string& root) {
  return "  local path='" + root +
         "' index word\n"
         "  for ((index = 1; index < COMP_CWORD; ++index)); do\n"
         "    word=${COMP_WORDS[index]}\n"
         "    if [[ \" $(" +
         prefix +
         "_valued \"$path\") \" == *\" $word \"* ]]; then\n"
         "      ((++index))\n"
         "    elif [[ \" $(" +
         prefix +
         "_subcommands \"$path\") \" == *\" $word \"* ]]; then\n"
         "      path+=/$word\n"
         "    fi\n"
         "  done\n"
         "  if ((index > COMP_CWORD)); then\n"
         "    COMPREPLY=()\n"
         "    return\n"
         "  fi\n"
         "  COMPREPLY=($(compgen -W \"$(" +
         prefix + "_words \"$path\")\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n";
}

}  // namespace

std::string bashCompletion(const CLI::App& app) {
  const std::string& name = app.get_name();
  const std::string prefix = "_" + name;
  std::vector<Level> levels;
  collectLevels(app, name, levels);
  return "# Completion of " + name + " for bash: source <(" + name + " completion bash)\n" +
         shellFunction(prefix + "_words", caseStatement(levels, &Level::words)) +
         shellFunction(prefix + "_subcommands", caseStatement(levels, &Level::subcommands)) +
         shellFunction(prefix + "_valued", caseStatement(levels, &Level::valued_options)) +
         shellFunction(prefix, completionBody(prefix, name)) + "complete -o default -F " + prefix +
         " " + name + "\n";
}

}  // namespace switchsaddle::command_line
