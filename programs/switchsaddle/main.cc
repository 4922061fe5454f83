#include <CLI/CLI.hpp>

/** Entry of the daemon and operator binary: the role is a subcommand. */
int main(int argument_count, char** arguments) {
  CLI::App app{"switchsaddle: a router fleet for language model sessions"};
  CLI11_PARSE(app, argument_count, arguments);
  return 0;
}
