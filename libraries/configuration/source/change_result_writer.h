#pragma once

#include "switchsaddle/configuration/change_json.h"
#include "switchsaddle/configuration/json_writer.h"

namespace switchsaddle::configuration {

/** @return whether a change with this result has been committed. */
bool isCommitted(base::ResultCode code);

/** Writes the members of a committed change's result into the open object. */
void writeChangeFields(JsonWriter& writer, const ChangeResult& result);

}  // namespace switchsaddle::configuration
