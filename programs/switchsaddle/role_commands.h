#pragma once

namespace CLI {
class App;
}

namespace switchsaddle {

/** Adds `switchsaddle core`, a control-plane node. The callback runs it and sets `exit_code`. */
void addCoreCommand(CLI::App& app, int& exit_code);

/** Adds `switchsaddle front`, a data-plane node. The callback runs it and sets `exit_code`. */
void addFrontCommand(CLI::App& app, int& exit_code);

}  // namespace switchsaddle
