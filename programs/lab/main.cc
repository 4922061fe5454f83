#include <CLI/CLI.hpp>

/** Entry of the laboratory: stand-ins, load and experiments. Never installed. */
int main(int argument_count, char** arguments) {
  CLI::App app{"switchsaddle-lab: stand-ins and experiments for switchsaddle"};
  CLI11_PARSE(app, argument_count, arguments);
  return 0;
}
