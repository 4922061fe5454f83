#pragma once

#include "switchsaddle/testbed/checks/history_checker.h"

namespace switchsaddle::testbed {

/** Checks the rules on evacuated zones, revoked keys and leaving workers; adds to the report. */
void checkOrders(const Evidence& evidence, HistoryReport& report);

}  // namespace switchsaddle::testbed
