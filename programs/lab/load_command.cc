#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>

#include "commands.h"
#include "load_run.h"

namespace switchsaddle::lab {
namespace {

void runLoadCommand(const LoadOrder& order) {
  std::cout << "calls sent: " << runLoad(order) << "\n";
}

}  // namespace

void addLoadCommand(CLI::App& app) {
  auto arguments = std::make_shared<LoadOrder>();
  CLI::App* command = app.add_subcommand("load", "Send a load and record what callers see");
  command->add_option("--fleet", arguments->fleet, "The fleet's fleet.json")->required();
  command->add_option("--load", arguments->load, "Load file")->required();
  command->add_option("--record", arguments->record, "File to record into; must not exist")
      ->required();
  command->add_option("--seconds", arguments->seconds, "How long requests arrive");
  command->add_option("--seed", arguments->seed, "Seed of the arrivals; keys hold it");
  command->add_flag("--direct", arguments->direct, "Straight to the workers, without the fronts");
  command->callback([arguments] { runLoadCommand(*arguments); });
}

}  // namespace switchsaddle::lab
