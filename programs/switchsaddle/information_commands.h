#pragma once

namespace CLI {
class App;
}

namespace switchsaddle {

/** Adds `version` and `completion`, which tell of the program itself. */
void addInformationCommands(CLI::App& app);

}  // namespace switchsaddle
