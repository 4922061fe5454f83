#pragma once

#include <string>
#include <vector>

#include "order_record.h"
#include "switchsaddle/base/node_address.h"

namespace switchsaddle::testbed_commands {

/**
 * A fake operator. Sends an order to the nodes in rotation, with the same change_id, until it is
 * acknowledged as in force on all nodes. Blocks; records each order and its acknowledgement.
 */
class OperatorOrders {
 public:
  /** `nodes` serve the control API; `name` makes the change_ids of several operators distinct. */
  OperatorOrders(std::vector<base::NodeAddress> nodes, std::string operator_key, std::string name,
                 OrderRecord& record);

  /** Each returns false if the order was not acknowledged in time. */
  bool evacuate(const std::string& zone);
  bool restore(const std::string& zone);
  /** Revokes the key whose id and tenant have this name. */
  bool revokeKey(const std::string& tenant);
  /** Adds a key whose secret is "key-TENANT", as in the examples. */
  bool addKey(const std::string& tenant);

 private:
  bool send(const std::string& method, const std::string& path, const std::string& change_id,
            const std::string& body, const std::string& what);
  std::string newChangeId();

  std::vector<base::NodeAddress> nodes_;
  std::string operator_key_;
  std::string name_;
  OrderRecord& record_;
  std::size_t turn_ = 0;
  int orders_ = 0;
};

}  // namespace switchsaddle::testbed_commands
