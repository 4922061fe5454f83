#pragma once

namespace CLI {
class App;
}

namespace switchsaddle {

/** Adds `switchsaddle core`, which runs a control-plane node. @param exit_code set when it ends. */
void addCoreCommand(CLI::App& app, int& exit_code);

/** Adds `switchsaddle front`, which runs a data-plane node. @param exit_code set when it ends. */
void addFrontCommand(CLI::App& app, int& exit_code);

}  // namespace switchsaddle
