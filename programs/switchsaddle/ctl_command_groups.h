#pragma once

#include "ctl_command_builder.h"

namespace switchsaddle {

/** Adds apply, set and remove. */
void addChangeCommands(CtlCommandBuilder& builder);

/** Adds get, history, in-force, status, routing and compare. */
void addReadCommands(CtlCommandBuilder& builder);

/** Adds evacuate and restore. */
void addZoneCommands(CtlCommandBuilder& builder);

/** Adds key add and key revoke. */
void addKeyCommands(CtlCommandBuilder& builder);

/** Adds health list and health show. */
void addHealthCommands(CtlCommandBuilder& builder);

/** Adds maintenance next, status, start and finish. */
void addMaintenanceCommands(CtlCommandBuilder& builder);

/** Adds core replace. */
void addCoreSetCommands(CtlCommandBuilder& builder);

}  // namespace switchsaddle
