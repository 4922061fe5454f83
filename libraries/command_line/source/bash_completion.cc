#include <map>
#include <vector>

#include "switchsaddle/command_line/command_line.h"

namespace switchsaddle::command_line {

namespace {

/** What may follow on one level of the tree. */
struct Level {
  std::string path;
  std::string words;
  std::string subcommands;
  /** The options that take a value. */
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

void collect(const CLI::App& app, const std::string& path, std::vector<Level>& levels) {
  Level level;
  level.path = path;
  for (const CLI::App* sub : app.get_subcommands({})) {
    append(level.words, sub->get_name());
    append(level.subcommands, sub->get_name());
  }
  appendOptions(app, level);
  levels.push_back(std::move(level));
  for (const CLI::App* sub : app.get_subcommands({})) {
    collect(*sub, path + "/" + sub->get_name(), levels);
  }
}

std::string caseLines(const std::vector<Level>& levels, std::string Level::*words) {
  std::string text = "  case \"$1\" in\n";
  for (const Level& level : levels) {
    if (!(level.*words).empty()) {
      text += "    '" + level.path + "') echo '" + level.*words + "' ;;\n";
    }
  }
  return text + "  esac\n";
}

std::string function(const std::string& name, const std::string& body) {
  return name + "() {\n" + body + "}\n";
}

/** Walks the words before the cursor down the tree, passing over the values of options. */
std::string walker(const std::string& prefix, const std::string& root) {
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
  collect(app, name, levels);
  return "# Completion of " + name + " for bash: source <(" + name + " completion bash)\n" +
         function(prefix + "_words", caseLines(levels, &Level::words)) +
         function(prefix + "_subcommands", caseLines(levels, &Level::subcommands)) +
         function(prefix + "_valued", caseLines(levels, &Level::valued_options)) +
         function(prefix, walker(prefix, name)) + "complete -o default -F " + prefix + " " + name +
         "\n";
}

}  // namespace switchsaddle::command_line
