#pragma once

/// LibPlacement: which upstream gets this flow. Knows no sockets, files or system clock.

#include <LibPlacement/Decision.h>
#include <LibPlacement/Engine.h>
#include <LibPlacement/MemberView.h>
#include <LibPlacement/TokenPlacer.h>
