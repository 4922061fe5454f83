#pragma once

#include "switchsaddle/testbed/checks/history_checker.h"

namespace switchsaddle::testbed {

/** Applies the rules on evacuated zones, revoked keys and leaving workers. */
void checkOrders(const Evidence& evidence, HistoryReport& report);

}  // namespace switchsaddle::testbed
