#include "ctl_command.h"

#include <unistd.h>

#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <sstream>
#include <thread>

#include "ctl_transport.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/command_line/command_line.h"
#include "switchsaddle/operator_client/operator_client.h"

namespace switchsaddle {

namespace {

using operator_client::ChangeOptions;
using operator_client::ExitCode;
using operator_client::KeyOptions;
using operator_client::OperatorClient;

constexpr auto WatchInterval = std::chrono::seconds(1);
/** Moves to the upper left corner and clears the screen of a terminal. */
constexpr const char* ClearScreen = "\x1b[H\x1b[2J";
const std::string ExampleStart = "switchsaddle ctl --address 10.0.0.1:8000 --key-file key ";

/** Everything the command line gives; shared by the callbacks of all actions. */
struct CtlOptions {
  std::vector<std::string> addresses;
  std::string key;
  std::string key_file;
  bool json = false;
  std::string change_id;
  std::uint64_t base_version = 0;
  bool has_base_version = false;
  bool whole = false;
  bool dry_run = false;
  bool watch = false;
  std::string first;
  std::string second;
  KeyOptions key_options;

  ChangeOptions changeOptions() const {
    ChangeOptions options{change_id, std::nullopt, dry_run};
    if (has_base_version) {
      options.base_version = base_version;
    }
    return options;
  }
};

using Action = std::function<ExitCode(OperatorClient&, const CtlOptions&)>;

std::string readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    throw base::Error(base::ResultCode::UnknownPath, "the file " + path + " cannot be read");
  }
  return text.str();
}

std::string operatorKey(const CtlOptions& options) {
  if (options.key_file.empty()) {
    return options.key;
  }
  const std::string text = readFile(options.key_file);
  return text.substr(0, text.find_first_of("\r\n"));
}

ExitCode runAction(const CtlOptions& options, const Action& action) {
  std::vector<base::NodeAddress> addresses;
  for (const std::string& address : options.addresses) {
    addresses.push_back(base::NodeAddress::parse(address));
  }
  const auto transport = createControlTransport();
  operator_client::ControlEndpoint endpoint(*transport, std::move(addresses), operatorKey(options));
  OperatorClient client(endpoint, options.json, std::cout, std::cerr);
  return action(client, options);
}

/** Builds the subcommands; each runs its action with the options of the whole command. */
class CtlCommandBuilder {
 public:
  CtlCommandBuilder(CLI::App& app, int& exit_code)
      : options_(std::make_shared<CtlOptions>()), exit_code_(exit_code) {
    command_ = app.add_subcommand("ctl", "Operate a fleet over its control API");
    command_line::describeUse(*command_, {ExampleStart + "status"});
    command_->fallthrough();
    command_->require_subcommand(1);
    command_->add_option("--address", options_->addresses, "Control addresses, IP:PORT[,IP:PORT]")
        ->delimiter(',')
        ->required();
    CLI::Option* key = command_->add_option("--key", options_->key, "The operator's key");
    command_->add_option("--key-file", options_->key_file, "File that holds the operator's key")
        ->excludes(key);
    command_->add_flag("--json", options_->json, "Write answers as JSON");
  }

  void addAll() {
    addChanges();
    addReads();
    addZones();
    addKeys();
    addHealth();
    addMaintenance();
    addCore();
  }

 private:
  CLI::App* add(CLI::App* parent, const std::string& name, const std::string& help,
                const std::string& example, Action action) {
    CLI::App* sub = parent->add_subcommand(name, help);
    command_line::describeUse(*sub, {ExampleStart + example});
    sub->fallthrough();
    sub->callback([options = options_, &exit_code = exit_code_, action = std::move(action)] {
      try {
        exit_code = static_cast<int>(runAction(*options, action));
      } catch (const base::Error& error) {
        const base::ResultCodeInfo& info = base::describe(error.code());
        std::cerr << "switchsaddle ctl: " << static_cast<int>(info.code) << " " << info.name << ": "
                  << error.what() << "\n";
        exit_code = static_cast<int>(ExitCode::Usage);
      }
    });
    return sub;
  }

  CLI::App* add(const std::string& name, const std::string& help, const std::string& example,
                Action action) {
    return add(command_, name, help, example, std::move(action));
  }

  void addChangeId(CLI::App* sub) {
    sub->add_option("--change-id", options_->change_id, "Names the change; same id for a resend");
  }

  void addChangeOptions(CLI::App* sub) {
    addChangeId(sub);
    sub->add_option("--base-version", options_->base_version, "Version the change is made on")
        ->each([options = options_](const std::string&) { options->has_base_version = true; });
    sub->add_flag("--dry-run", options_->dry_run, "Check only");
  }

  void addChanges() {
    CLI::App* apply =
        add("apply", "Apply a configuration file", "apply configuration.json --whole",
            [](auto& client, auto& options) {
              return client.apply(readFile(options.first), options.whole, options.changeOptions());
            });
    apply->add_option("file", options_->first, "The file")->required();
    apply->add_flag("--whole", options_->whole, "Remove the entries that the file lacks");
    addChangeOptions(apply);
    CLI::App* set = add("set", "Set one entry", "set tuning/route-weight-alpha 1.5",
                        [](auto& client, auto& options) {
                          return client.set(options.first, options.second, options.changeOptions());
                        });
    set->add_option("path", options_->first, "Such as tuning/retry-share")->required();
    set->add_option("json", options_->second, "The value as JSON")->required();
    addChangeOptions(set);
    CLI::App* remove = add("remove", "Remove one entry", "remove tuning/route-weight-alpha",
                           [](auto& client, auto& options) {
                             return client.remove(options.first, options.changeOptions());
                           });
    remove->add_option("path", options_->first, "The entry's path")->required();
    addChangeOptions(remove);
  }

  void addReads() {
    add("get", "Write the configuration in force as a file", "get > configuration.json",
        [](auto& client, auto&) { return client.get(); });
    add("history", "List the changes made", "history --json",
        [](auto& client, auto&) { return client.show("/v1/configuration/history"); });
    add("in-force", "List the version each front has applied", "in-force",
        [](auto& client, auto&) { return client.show("/v1/configuration/in-force"); });
    CLI::App* status = add("status", "Show nodes, sessions, leases, core set and disks",
                           "status --watch", showStatus);
    addWatch(status);
    CLI::App* routing =
        add("routing", "Show a node's routing table", "routing --model summary-1",
            [](auto& client, auto& options) { return client.showRouting(options.first); });
    routing->add_option("--model", options_->first, "One model's table alone");
    CLI::App* compare = add("compare", "List what two nodes do not agree on",
                            "compare 10.0.0.1:8000 10.0.0.2:8000", [](auto& client, auto& options) {
                              return client.compare(base::NodeAddress::parse(options.first),
                                                    base::NodeAddress::parse(options.second));
                            });
    compare->add_option("first", options_->first, "IP:PORT")->required();
    compare->add_option("second", options_->second, "IP:PORT")->required();
  }

  static ExitCode showStatus(OperatorClient& client, const CtlOptions& options) {
    return showAgain(client, options, "/v1/status");
  }

  /** Once, or each second where the operator watches. */
  static ExitCode showAgain(OperatorClient& client, const CtlOptions& options,
                            const std::string& target) {
    ExitCode code = client.show(target);
    while (options.watch) {
      std::this_thread::sleep_for(WatchInterval);
      std::cout << (isatty(STDOUT_FILENO) != 0 ? ClearScreen : "\n");
      code = client.show(target);
      std::cout << std::flush;
    }
    return code;
  }

  void addWatch(CLI::App* sub) {
    sub->add_flag("--watch", options_->watch, "Show it again each second until interrupted");
  }

  CLI::App* addGroup(const std::string& name, const std::string& help, const std::string& example) {
    CLI::App* group = command_->add_subcommand(name, help);
    group->fallthrough();
    command_line::describeUse(*group, {ExampleStart + example});
    group->require_subcommand(1);
    return group;
  }

  void addHealth() {
    CLI::App* health = addGroup("health", "Show which workers are sick", "health list");
    CLI::App* list = add(health, "list", "Rank the workers, the sickest first", "health list",
                         [](auto& client, auto& options) {
                           return showAgain(client, options, "/v1/health/workers");
                         });
    addWatch(list);
    CLI::App* show =
        add(health, "show", "Show what was seen of one worker", "health show worker-7",
            [](auto& client, auto& options) { return client.showWorkerHealth(options.first); });
    show->add_option("worker", options_->first, "The worker's id")->required();
  }

  void addMaintenance() {
    CLI::App* group =
        addGroup("maintenance", "Take workers out for maintenance", "maintenance next");
    CLI::App* next =
        add(group, "next", "Take out the sickest worker that may be missed", "maintenance next",
            [](auto& client, auto& options) { return client.maintainNext(options.change_id); });
    CLI::App* status = add(
        group, "status", "List the workers that are out, and what they still have",
        "maintenance status --watch",
        [](auto& client, auto& options) { return showAgain(client, options, "/v1/maintenance"); });
    addWatch(status);
    CLI::App* start = add(group, "start", "Take out one worker", "maintenance start worker-7",
                          [](auto& client, auto& options) {
                            return client.startMaintenance(options.first, options.change_id);
                          });
    CLI::App* finish = add(group, "finish", "Let a worker take requests again",
                           "maintenance finish worker-7", [](auto& client, auto& options) {
                             return client.finishMaintenance(options.first, options.change_id);
                           });
    for (CLI::App* sub : {start, finish}) {
      sub->add_option("worker", options_->first, "The worker's id")->required();
    }
    for (CLI::App* sub : {next, start, finish}) {
      addChangeId(sub);
    }
  }

  void addZones() {
    CLI::App* evacuate =
        add("evacuate", "Empty a zone", "evacuate north", [](auto& client, auto& options) {
          return client.evacuate(options.first, options.change_id);
        });
    CLI::App* restore = add("restore", "Let a zone take work again", "restore north",
                            [](auto& client, auto& options) {
                              return client.restore(options.first, options.change_id);
                            });
    for (CLI::App* sub : {evacuate, restore}) {
      sub->add_option("zone", options_->first, "The zone")->required();
      addChangeId(sub);
    }
  }

  void addKeys() {
    CLI::App* key = addGroup("key", "Add and revoke tenants' keys", "key add editors");
    CLI::App* create = add(key, "add", "Add a key; its secret is shown now and never again",
                           "key add editors --id editors-2", [](auto& client, auto& options) {
                             KeyOptions key_options = options.key_options;
                             key_options.change_id = options.change_id;
                             return client.addKey(key_options);
                           });
    create->add_option("tenant", options_->key_options.tenant, "The tenant")->required();
    create->add_option("--id", options_->key_options.id, "The key's id; else made from the change");
    create->add_option("--sha256", options_->key_options.sha256,
                       "SHA-256 of a secret made elsewhere");
    addChangeId(create);
    CLI::App* revoke =
        add(key, "revoke", "Revoke a key", "key revoke editors-1", [](auto& client, auto& options) {
          return client.revokeKey(options.first, options.change_id);
        });
    revoke->add_option("id", options_->first, "The key's id")->required();
    addChangeId(revoke);
  }

  void addCore() {
    CLI::App* core =
        addGroup("core", "Change the core set", "core replace 10.0.0.5:7000 10.0.0.9:7000");
    CLI::App* replace =
        add(core, "replace", "Put an empty core node in place of a lost one",
            "core replace 10.0.0.5:7000 10.0.0.9:7000", [](auto& client, auto& options) {
              return client.replaceCore(base::NodeAddress::parse(options.first),
                                        base::NodeAddress::parse(options.second));
            });
    replace->add_option("old", options_->first, "Peer address of the member that leaves")
        ->required();
    replace->add_option("new", options_->second, "Peer address of the empty node")->required();
  }

  std::shared_ptr<CtlOptions> options_;
  int& exit_code_;
  CLI::App* command_ = nullptr;
};

}  // namespace

void addCtlCommand(CLI::App& app, int& exit_code) {
  CtlCommandBuilder(app, exit_code).addAll();
}

}  // namespace switchsaddle
